/** Reads the cache events of engines and stores. */
export interface CacheEventReader {
  /**
   * Starts reading the events of an engine; has no effect when they are already read.
   *
   * @param address `IP:port` of the engine
   * @param pauseMs pause between two reads, milliseconds, in which events accumulate
   */
  readonly startReading: (engine: string, address: string, pauseMs: number) => void;
  /** Stops reading the events of an engine; its pieces stay in the table. */
  readonly stopReading: (engine: string) => void;
  /** Whether the last read of the events of an engine or store succeeded. */
  readonly isReading: (engine: string) => boolean;
  /** Returns the boot id of the engine, which changes when it restarts; `undefined` before the first page. */
  readonly getBootId: (engine: string) => string | undefined;
  /**
   * Returns the time on the clock of the engines, milliseconds, behind by the delay of one answer; `undefined` until it is
   * known.
   */
  readonly readClockMs: () => number | undefined;
  /** Stops all reads. */
  readonly close: () => void;
}
