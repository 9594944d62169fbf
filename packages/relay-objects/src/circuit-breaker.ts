/** Circuit breaker for calls to a store: limits calls to single probes while the store does not answer. */
export interface CircuitBreaker {
  /**
   * Whether a call may be made now; false while the breaker is open and the next probe is not due. Admitting a probe delays the
   * next one.
   */
  readonly admitCall: () => boolean;
  /**
   * Records whether the store answered a call that was sent at `sentMs`, monotonic milliseconds: an answer closes the breaker, a
   * failure opens it with a growing delay.
   */
  readonly recordOutcome: (isAnswered: boolean, sentMs: number) => void;
  /** Takes back an admitted call that was not made, so that the next one is admitted. */
  readonly cancelProbe: () => void;
  /** Returns the time since the last failed call was sent, milliseconds; infinite when none failed. */
  readonly getMsSinceFailure: () => number;
  /** Whether the store did not answer the last call. */
  readonly isOpen: () => boolean;
}
