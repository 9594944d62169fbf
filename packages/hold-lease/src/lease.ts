/** A lease that this node holds or competes for. */
export interface Lease {
  /**
   * Returns the fencing token while the lease is certainly held by both the monotonic and the wall clock; otherwise
   * `undefined`.
   */
  readonly getFencingToken: () => number | undefined;
  /** Returns the time for which the lease is still held without a renewal, milliseconds; 0 when it is not held. */
  readonly getRemainingMs: () => number;
  /** Checks the lease now. To be called when the pause of `getPollMs` became shorter. */
  readonly pollNow: () => void;
  /** Stops and releases the lease, so that the next holder does not have to wait for it to expire. */
  readonly release: () => Promise<void>;
  /** Stops without releasing the lease; another node takes it over when it has expired. */
  readonly close: () => void;
}
