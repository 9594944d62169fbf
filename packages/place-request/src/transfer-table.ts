/** Sums over a prompt that make the transfer time of any range of pieces a constant-time lookup. */
export interface TransferTable {
  /** Tokens before each piece; one entry more than there are pieces. */
  readonly tokens: Float64Array;
  /** One entry for each store: queue in milliseconds and milliseconds to move all pieces before an index. */
  readonly links: readonly { readonly queueMs: number; readonly sums: Float64Array }[];
  /** For each end index the first piece of the unbroken stored run that ends there; the index itself when there is none. */
  readonly runStart: Int32Array;
  /** Import ends worth trying: ends of stored runs and places where the source changes. */
  readonly ends: readonly number[];
}
