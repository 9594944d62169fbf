/** Fill levels of a store tier or quota, as shares of the capacity. */
export const FILL_THRESHOLDS = {
  /** Above this level the pieces of least value are evicted, and only pieces above the minimum density are added. */
  eviction: 0.9,
  /** Nothing is added to a tier above this level; the rest is a reserve because reports of used bytes lag. */
  full: 0.98,
  /** Prefetch fills memory to this level only, to leave room for exports. */
  prefetch: 0.8,
} as const;
