/**
 * Durations of a lease, milliseconds. The time before a takeover must exceed the time for which the holder trusts the lease by
 * more than two clocks can drift apart in that time.
 */
export interface LeaseDurations {
  /** Time without a change of the lease object after which another node takes the lease over. */
  readonly takeoverMs: number;
  /** Time after a write after which the holder renews the lease. */
  readonly renewMs: number;
  /** Time for which the holder trusts the lease after it sent its last successful write. */
  readonly holdMs: number;
  /** Pause between two checks of the lease. */
  readonly pollMs: number;
}
