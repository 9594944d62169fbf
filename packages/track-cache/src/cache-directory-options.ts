/** Options of `createCacheDirectory`. Absent fields take their defaults. */
export interface CacheDirectoryOptions {
  /** Maximum number of distinct pieces that are tracked on engines; 200,000 by default. */
  readonly maxCachedPieces?: number;
  /** Maximum number of pieces that are tracked in stores, counted once for each store; 200,000 by default. */
  readonly maxStoredPieces?: number;
  /** Milliseconds after which an assumed piece that no event has confirmed is dropped; 5,000 by default. */
  readonly assumedPieceTtlMs?: number;
  /** Minimum share, 0 to 1, of the assumed pieces of an engine that events confirm later; below it they do not count. 0.5 by default. */
  readonly minConfirmationRate?: number;
  /**
   * Milliseconds without events, runs or resynchronisation after which an engine and its pieces are dropped; 900,000 by default. An
   * idle engine sends no events, so the caller must resynchronise it within this time.
   */
  readonly engineIdleTimeoutMs?: number;
}
