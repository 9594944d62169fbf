/** Identifies an attempt that ends without an answer: it was not dispatched, or its answer was lost. */
export interface JournalAttempt {
  readonly account: string;
  readonly service: string;
  readonly key: string;
  readonly attemptId: string;
}
