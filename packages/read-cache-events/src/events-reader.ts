/** Readers of the cache events of engines. */
export interface EventsReader {
  /**
   * Starts to read the events of an engine; nothing happens when it is read already.
   *
   * @param pauseMs pause between two reads, milliseconds; changes gather meanwhile
   */
  readonly startReading: (engine: string, address: string, pauseMs: number) => void;
  readonly stopReading: (engine: string) => void;
  /** True while the events of an engine or store are followed without a failure. */
  readonly isReading: (engine: string) => boolean;
  /** Name of the engine's present life; `undefined` before the first page. */
  readonly getBootId: (engine: string) => string | undefined;
  /** Time on the engines' clock, milliseconds, late by one answer; `undefined` while it is not known. */
  readonly readClockMs: () => number | undefined;
  readonly close: () => void;
}
