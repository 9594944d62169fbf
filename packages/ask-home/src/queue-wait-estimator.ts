/** Estimates queue waits from the recent placement rate. Priority 0 is the most urgent. */
export interface QueueWaitEstimator {
  /** Records that a call of this priority was placed. */
  readonly recordPlacement: (priority: number) => void;
  /**
   * Estimates the time until `ahead` calls of this priority is placed, milliseconds. Returns `Infinity` when only more urgent calls
   * were placed within the last second, and 0 when none was placed or `ahead` is 0.
   */
  readonly estimateWaitMs: (priority: number, ahead: number) => number;
  /** Whether a call of any priority was placed within the last second. */
  readonly hasRate: () => boolean;
  /**
   * Returns the time after which a refused caller should retry, milliseconds, and records that retry. Callers ahead in the queue and
   * earlier recorded retries of the same or a more urgent priority are counted before it.
   *
   * @param minRetryMs lower bound of the result
   * @param maxRetryMs upper bound of the result; callers do not wait longer
   * @param work number of placements for each retry, 1 by default; above 1, the others are left to new calls
   */
  readonly scheduleRetry: (
    priority: number,
    ahead: number,
    minRetryMs: number,
    maxRetryMs: number,
    work?: number,
  ) => number;
  /** Returns the result of `scheduleRetry` without recording the retry. */
  readonly estimateRetryMs: QueueWaitEstimator['scheduleRetry'];
}
