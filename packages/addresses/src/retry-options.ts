/** Options of `retryUntilBound`. */
export interface RetryOptions {
  /** Time after which the last attempt is made, milliseconds. */
  readonly timeoutMs: number;
  /** Ends the attempts. */
  readonly signal?: AbortSignal | undefined;
  /** Called once, with the first error, when the address cannot be bound yet. */
  readonly onWait: (error: unknown) => void;
}
