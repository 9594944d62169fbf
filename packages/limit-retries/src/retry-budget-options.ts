/** Settings of a retry budget. */
export interface RetryBudgetOptions {
  /** Seed of the jitter. */
  readonly seed: number;
  /** Mean of the first pause times two, milliseconds. */
  readonly baseMs?: number | undefined;
  /** Upper bound of a pause before jitter, milliseconds. */
  readonly maxMs?: number | undefined;
  /** Retries per first attempt for an account and for a pool. */
  readonly sharedRatio?: number | undefined;
  /** Retries per second always allowed to an account and to a pool. */
  readonly sharedMinPerSecond?: number | undefined;
}
