/** Filling of a store tier, as shares of its capacity. */
export const FILL_LIMITS = {
  /** Above this, pieces of low value make room, and only pieces worth more than the floor come in. */
  pressure: 0.9,
  /** Nothing is exported or moved to a tier beyond this; the rest is for reports that lag. */
  full: 0.98,
  /** Prefetch leaves room for exports. */
  prefetch: 0.8,
} as const;
