/** A store for the KV cache of prompt pieces. */
export interface CacheStore {
  readonly name: string;
  readonly address: string;
  readonly failureDomain: string;
  /** Size of the store, tokens. */
  readonly capacityTokens: number;
  /** Bandwidth of the store's link, megabits per second. */
  readonly linkMbps: number;
  /** Concurrent long-poll reads of cache events that the store accepts. */
  readonly maxEventReaders: number;
  /** The store evicts nothing by itself, so the system has to free pieces. */
  readonly isManaged: boolean;
  /** Delay before each transfer, milliseconds. */
  readonly firstMs: number;
}
