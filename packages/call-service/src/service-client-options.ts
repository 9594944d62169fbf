/** Options of the client of a plain service instance. */
export interface ServiceClientOptions {
  /** Base URL, `http://IP:port`. */
  readonly url: string;
  /** Largest number of open connections; default 256. A call above it fails with `unreachable` and `sent: false`. */
  readonly maxConnections?: number | undefined;
  /**
   * Longest time since the last response of a connection that a call with `requireRecentAnswer` may use, milliseconds; default
   * 500. With 0, each such call checks a new connection first.
   */
  readonly recentResponseMs?: number | undefined;
  /** Largest response body, bytes; default 8 MiB. A larger one is a `bad-answer`. */
  readonly maxResponseBytes?: number | undefined;
}
