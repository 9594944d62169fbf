/** Options of the fake store. Sizes are modelled bytes; bodies in tests are small. */
export interface FakeStoreOptions {
  /** Name in listings; default `store`. */
  readonly name?: string | undefined;
  /** Port; default 0, a free one. */
  readonly port?: number | undefined;
  /** Default 1 GiB. */
  readonly memoryBytes?: number | undefined;
  /** Default 8 GiB. */
  readonly diskBytes?: number | undefined;
  /** Rate of the link that all transfers share; default 4 GiB/s. */
  readonly linkBytesPerSecond?: number | undefined;
  /** Rate of the disk; default 1 GiB/s. */
  readonly diskBytesPerSecond?: number | undefined;
}
