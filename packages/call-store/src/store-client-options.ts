/** Options of the client of one store host. */
export interface StoreClientOptions {
  /** Name of the store, set in the pieces that the client returns. */
  readonly name: string;
  readonly url: string;
  /** Timeout of a call other than a move; default 1,000 ms. */
  readonly callTimeoutMs?: number;
  /** Timeout of a move between tiers, which waits for the disk; default 10,000 ms. */
  readonly moveTimeoutMs?: number;
  /** Largest number of open connections; default 16. */
  readonly maxConnections?: number;
  /** Largest response body, bytes; default 8 MiB, well above the size of a page of the listing. */
  readonly maxBodyBytes?: number;
}
