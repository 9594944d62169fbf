/** Options of a cache directory. */
export interface CacheDirectoryOptions {
  /** Bound on the pieces that are known to be on engines; default 200,000. */
  readonly maxEntries?: number;
  /** Bound on the pieces that are known to be in stores; default 200,000. */
  readonly maxStored?: number;
  /** An assumed piece that no event confirms is dropped after this time; default 5,000 ms. */
  readonly optimisticMs?: number;
  /** Assumed pieces of an engine count only while about this share of them is confirmed later; default 0.5. */
  readonly minTrust?: number;
  /**
   * Entries of an engine without events, runs or resynchronisation for this long are dropped; default 900,000 ms. An idle engine
   * sends no events, so the caller resynchronises it now and then.
   */
  readonly silenceMs?: number;
}
