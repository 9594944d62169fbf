/** Expected next use of a prompt, given the time since its last use. */
export interface ReturnEstimate {
  /** Probability of another use, 0 to 1. */
  readonly probability: number;
  /** Median time until the next use if there is one, milliseconds. */
  readonly gapMs: number;
  /** Time within which 90% of the next uses happen, milliseconds. */
  readonly p90GapMs: number;
}
