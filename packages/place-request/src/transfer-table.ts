/** Prefix sums over a prompt, so that the transfer time of any range of pieces takes one subtraction per channel. */
export interface TransferTable {
  /** Tokens before each piece; the last entry, one more than there are pieces, is the total. */
  readonly tokens: Float64Array;
  /**
   * Transfer channels: the link of each store and each of its slower tiers. `queueMs` is the time until a new transfer starts;
   * `sums` are the milliseconds that the channel needs for all pieces before each index.
   */
  readonly links: readonly { readonly queueMs: number; readonly sums: Float64Array }[];
  /** For each end index the start of the run of consecutive stored pieces that ends there; the index itself when there is none. */
  readonly storedRunStart: Int32Array;
  /** Ends of imports to consider: the ends of stored runs and the indexes at which the source changes. */
  readonly importEnds: readonly number[];
}
