/** The listener for callers. */
export interface Forwarder {
  /** Answers end their connections from now on. */
  readonly startDraining: () => void;
  readonly countInFlight: () => number;
  /** Takes no new connections, and closes each connection as soon as it is idle. */
  readonly stopListening: () => void;
  readonly closeIdle: () => void;
}
