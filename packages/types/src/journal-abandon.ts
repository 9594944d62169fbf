/** Identifies an attempt that ends without an answer: it was not dispatched, or its answer was lost. */
export interface JournalAbandon {
  readonly account: string;
  readonly service: string;
  readonly key: string;
  readonly attemptId: string;
}
