/** A store host in the published configuration. */
export interface StoreHost {
  readonly name: string;
  readonly url: string;
  readonly failureDomain: string;
  readonly memoryBytes: number;
  readonly diskBytes: number;
  readonly linkBytesPerSecond: number;
  /** Read rate of the disk tier, bytes per second. */
  readonly diskBytesPerSecond: number;
}
