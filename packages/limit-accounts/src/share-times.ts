/** Times of the leased shares, milliseconds. */
export const SHARE_TIMES = {
  /** A share holds this long; three refreshes, so that one lost message changes nothing. */
  validMs: 6000,
  refreshMs: 2000,
  /** Accounts without calls for this long are no longer refreshed. */
  idleMs: 20_000,
} as const;
