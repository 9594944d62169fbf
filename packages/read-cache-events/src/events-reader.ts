/** Readers of the cache events of engines. */
export interface EventsReader {
  /** Starts to read the events of an engine; nothing happens when it is read already. */
  readonly startReading: (engine: string, address: string) => void;
  readonly stopReading: (engine: string) => void;
  readonly close: () => void;
}
