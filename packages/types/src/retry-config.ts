/** Retry allowance of a service. */
export interface RetryConfig {
  /** Retries allowed per first attempt, e.g. 0.1. */
  readonly ratio: number;
  /** Retries per second that are always allowed. */
  readonly minPerSecond: number;
  /** Attempts per request, the first included. */
  readonly maxAttempts: number;
}
