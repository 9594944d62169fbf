/** Capacity and use of the tiers and the link of a store host. */
export interface StoreStat {
  readonly memoryBytes: number;
  readonly memoryUsed: number;
  readonly diskBytes: number;
  readonly diskUsed: number;
  readonly linkBytesPerSecond: number;
  readonly linkQueuedBytes: number;
  /** Fraction of the link that the older system uses, 0 to 1. */
  readonly otherShare: number;
}
