/** Retry budget of a service. */
export interface RetryConfig {
  /** Retries allowed per first attempt, e.g. 0.1. */
  readonly ratio: number;
  /** Retries per second that are allowed regardless of `ratio`. */
  readonly minPerSecond: number;
  /** Largest number of attempts per request, including the first. */
  readonly maxAttempts: number;
}
