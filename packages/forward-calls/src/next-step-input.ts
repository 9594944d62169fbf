/** Input of the decision after an attempt. */
export interface NextStepInput {
  /** Number of attempts in which the call was sent. */
  readonly attempts: number;
  /** Limit on `attempts`, from the route. */
  readonly maxAttempts: number;
  /** Number of attempts that failed before anything was sent. */
  readonly unsentAttempts: number;
  /** Limit on `unsent`. */
  readonly maxUnsentAttempts: number;
  /** Milliseconds until the deadline of the call. */
  readonly remainingMs: number;
  /** True when the call may run more than once. */
  readonly isRetryable: boolean;
  /** True when some attempt may have run the call. */
  readonly mayHaveRun: boolean;
  /**
   * Memory from which the run can continue, its engine being known to have ended or to have stopped it; `undefined` without any. A
   * continuation counts as the same run, so neither the limit on attempts nor the kind of the route bounds it.
   */
  readonly continueFrom: 'backup' | 'handle' | undefined;
  /** True when the headers of an answer were written to the caller. */
  readonly isHeadSent: boolean;
  /** True when the caller has disconnected. */
  readonly isCallerGone: boolean;
}
