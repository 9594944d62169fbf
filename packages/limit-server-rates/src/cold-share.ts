/** A host's part of the rate of a cold server. */
export interface ColdShare {
  /** Mean rate of this host's calls, a second. */
  readonly ratePerS: number;
  /** Least time between two calls of this host, milliseconds. */
  readonly intervalMs: number;
  /**
   * Set for rates below one call a second: the host may send one call in each period, and only in its slot. Without slots, many hosts
   * that have not sent for a while could all send within one second.
   */
  readonly slot?: { readonly offsetMs: number; readonly lengthMs: number };
}
