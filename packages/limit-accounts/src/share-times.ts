/** Times of the leased shares, milliseconds. */
export const SHARE_TIMES = {
  /** A share holds this long; three refreshes, so that one lost message changes nothing. */
  validMs: 6000,
  refreshMs: 2000,
  /**
   * A share of at most limit / nodes holds this long for each node, 6 s at the least and 60 s at the most, and is refreshed
   * only after use: with 4,100 accounts at 470 nodes, refreshing all each 2 s took 12% of a core and 300 KB/s of each node.
   */
  quietNodeMs: 128,
  maxQuietMs: 60_000,
  /** Refreshes within the time that a share holds. */
  refreshesPerShare: 3,
  /** Accounts without calls for this long are no longer refreshed. */
  idleMs: 20_000,
} as const;
