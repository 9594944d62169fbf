/** The caller-facing server of a node. */
export interface CallerServer {
  /** Address that the server listens on, `IP:port`. */
  readonly address: string;
  /** Refuses new requests with the outcome `not run` and resolves when all requests in progress are answered. */
  readonly drain: () => Promise<void>;
  /** Closes the port and all connections. */
  readonly close: () => Promise<void>;
  /**
   * Counts requests in progress (`active`), and since the start all requests, requests refused before routing,
   * connections dropped above the limit, and callers disconnected because they stopped reading (`stalled`).
   */
  readonly getCounts: () => Readonly<
    Record<'active' | 'requests' | 'refused' | 'dropped' | 'stalled', number>
  >;
}
