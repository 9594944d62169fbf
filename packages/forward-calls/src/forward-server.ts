/** HTTP server for callers. */
export interface ForwardServer {
  /** Closes each connection after its next response from now on. */
  readonly startDraining: () => void;
  /** Returns the number of calls that have no final answer yet. */
  readonly countCallsInFlight: () => number;
  /**
   * Takes what has arrived, then stops accepting connections, closes those that have been idle for a while, and refuses calls that come
   * on the others from now on.
   */
  readonly stopListening: () => Promise<void>;
  /** Returns the number of open connections that have had a request. */
  readonly countConnections: () => number;
  /** Gives all calls in flight a final answer, except streams that have begun, which are cut off. */
  readonly endCalls: () => void;
  /** Closes the connections on which no request has come for a while. */
  readonly closeIdleConnections: () => void;
}
