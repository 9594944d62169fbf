/** A store host that keeps KV cache of prompt pieces. */
export interface KeptCacheStore {
  readonly name: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly capacityTokens: number;
  readonly linkMbps: number;
  readonly maxEventReaders: number;
  /** The store drops nothing by itself: the system has to free pieces. */
  readonly isManaged: boolean;
  /** Wait before each transfer, milliseconds. */
  readonly firstMs: number;
}
