/** Options of a pool of connections to one peer. */
export interface HttpPoolOptions {
  /** Base URL without a path. */
  readonly url: string;
  /** Largest answer body of a call, bytes. */
  readonly maxBodyBytes: number;
  /** Connections open at once. */
  readonly maxSockets: number;
}
