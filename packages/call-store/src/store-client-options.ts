/** Options of the client of one store host. */
export interface StoreClientOptions {
  /** Name of the store; stands in the pieces that the client returns. */
  readonly name: string;
  readonly url: string;
  /** Time for one call; default 1,000 ms. */
  readonly callLimitMs?: number;
  /** Time for a move between tiers, which waits for the disk; default 10,000 ms. */
  readonly moveLimitMs?: number;
  /** Connections open at once; default 16. */
  readonly maxSockets?: number;
  /** Largest answer; default 8 MiB. A page of the listing is well below. */
  readonly maxBodyBytes?: number;
}
