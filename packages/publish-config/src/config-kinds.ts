/** Kinds of the configuration objects on the platform, and the name of the object that holds the current head. */
export const CONFIG_KINDS = {
  head: 'config-head',
  headName: 'main',
  /** Kind of the segments, each a `StoredSegment` named by its hash. */
  segment: 'config-segment',
  /** Kind of the earlier heads, each named by its generation. */
  history: 'config-history',
} as const;
