/** Timing of the leased shares, in milliseconds. */
export const SHARE_TIMING = {
  /** Validity of a share: three refresh intervals, so that one lost message has no effect. */
  validMs: 6000,
  /** Interval at which shares in use are refreshed. */
  refreshIntervalMs: 2000,
  /**
   * Validity of a small share, one of at most limit / nodes, per node: at least 6 s and at most 60 s in total. It is refreshed only
   * when it is used, because with 4,100 accounts and 470 nodes a refresh of all shares every 2 s took 12% of a core and 300 KB/s on
   * each node.
   */
  smallShareValidMsPerNode: 128,
  /** Upper bound on the validity of a small share. */
  maxSmallShareValidMs: 60_000,
  /** Number of refreshes within the validity of a share. */
  refreshesPerShare: 3,
  /** Time without calls after which the share of an account is no longer refreshed. */
  idleTimeoutMs: 20_000,
} as const;
