/** Limits of repeats for one service over the whole fleet. */
export interface ResendLimits {
  /** Repeats for each call of the window, 0 to 1. */
  readonly ratio: number;
  /** Length of the sliding window, milliseconds. */
  readonly windowMs: number;
  /** Repeats in a window beyond the ratio, of all hosts together. */
  readonly slack: number;
}
