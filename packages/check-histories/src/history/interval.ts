/** A span of time, milliseconds on the monotonic clock. */
export interface Interval {
  readonly startMs: number;
  readonly endMs: number;
}
