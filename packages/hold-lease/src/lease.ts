/** A lease that this node holds or competes for. */
export interface Lease {
  /** The fencing number while the lease is surely held, by this process's monotonic clock; else `undefined`. */
  readonly getFencing: () => number | undefined;
  /** Milliseconds for which the lease is still held without a renewal; 0 when it is not held. */
  readonly getRemainingMs: () => number;
  /** Looks at the lease now, as its pause has become shorter. */
  readonly pollNow: () => void;
  /** Stops and gives the lease back, so that the next holder need not wait. */
  readonly release: () => Promise<void>;
  /** Stops without giving the lease back. */
  readonly close: () => void;
}
