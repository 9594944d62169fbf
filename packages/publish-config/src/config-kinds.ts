/** Kinds and names of the configuration objects in the platform. */
export const CONFIG_KINDS = {
  head: 'config-head',
  headName: 'main',
  /** Segments by hash, as `StoredSegment`. */
  segment: 'config-segment',
  /** Earlier heads by generation. */
  history: 'config-history',
} as const;
