/** Times at which refused callers of servers at their limits were told to retry, by service. */
export interface RetrySchedule {
  /**
   * Returns the time after which a refused caller should retry, milliseconds, and records that retry. It comes after the recorded
   * retries of the same or a more urgent priority, which take one call each.
   *
   * @param perCallMs time between two calls that the servers take together, milliseconds
   * @param minRetryMs lower bound of the result
   * @param maxRetryMs upper bound of the result; callers do not wait longer
   */
  readonly scheduleRetry: (
    service: string,
    priority: number,
    perCallMs: number,
    minRetryMs: number,
    maxRetryMs: number,
  ) => number;
  /** Returns the result of `scheduleRetry` without recording the retry. */
  readonly estimateRetryMs: RetrySchedule['scheduleRetry'];
}
