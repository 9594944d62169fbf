/** HTTP server for callers. */
export interface ForwardServer {
  /** Closes each connection after its next response from now on. */
  readonly startDraining: () => void;
  /** Returns the number of calls that have no final answer yet. */
  readonly countCallsInFlight: () => number;
  /** Stops accepting connections and closes those that are idle now. */
  readonly stopListening: () => void;
  /** Closes the connections that are idle now. */
  readonly closeIdleConnections: () => void;
}
