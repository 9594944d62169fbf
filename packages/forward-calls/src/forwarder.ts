/** The listener for callers. */
export interface Forwarder {
  /** Answers end their connections from now on. */
  readonly startDraining: () => void;
  readonly countInFlight: () => number;
  /** Closes the listener and idle connections; resolves when all connections are gone. */
  readonly close: () => Promise<void>;
}
