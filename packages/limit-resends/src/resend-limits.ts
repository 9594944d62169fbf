/** Limits on the resends of one service over the whole fleet. */
export interface ResendLimits {
  /** Resends per call of the window, 0 to 1. */
  readonly ratio: number;
  /** Length of the sliding window, milliseconds. */
  readonly windowMs: number;
  /** Resends of all hosts together in a window in addition to the ratio. */
  readonly slack: number;
}
