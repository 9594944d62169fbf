/** Options of an HTTP connection pool for one peer. */
export interface HttpPoolOptions {
  /** Base URL without a path. */
  readonly url: string;
  /** Largest response body that is read, bytes; a larger one is a `bad-answer`. */
  readonly maxBodyBytes: number;
  /** Largest number of open connections. */
  readonly maxConnections: number;
}
