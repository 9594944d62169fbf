/** Options of the retry budgets of a node. */
export interface RetryBudgetOptions {
  /** Seed of the random jitter; an integer. */
  readonly seed: number;
  /** Limit of the delay before the first retry, in milliseconds: twice its mean. The limit doubles with each retry. */
  readonly baseDelayMs?: number | undefined;
  /** Upper bound of that limit, in milliseconds. */
  readonly maxMs?: number | undefined;
  /** Retries per first attempt for an account and for a pool. */
  readonly sharedRatio?: number | undefined;
  /** Retries per second that are always allowed to an account and to a pool. */
  readonly sharedMinPerSecond?: number | undefined;
}
