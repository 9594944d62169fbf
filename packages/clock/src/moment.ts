/** A point in time on the monotonic and the wall clock. */
export interface Moment {
  /** Monotonic clock, milliseconds from an arbitrary start. */
  readonly monotonicMs: number;
  /** Wall clock, milliseconds since the epoch. */
  readonly wallMs: number;
}
