/** Circuit breaker for calls to a store: limits calls to single probes while the store does not answer. */
export interface CircuitBreaker {
  /**
   * Whether a call may be made now; false while the breaker is open and the next probe is not due. Admitting a probe delays the
   * next one.
   */
  readonly admitCall: () => boolean;
  /** Records whether the store answered a call: an answer closes the breaker, a failure opens it with a growing delay. */
  readonly recordOutcome: (isAnswered: boolean) => void;
  /** Whether the store did not answer the last call. */
  readonly isOpen: () => boolean;
}
