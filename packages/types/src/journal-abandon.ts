/** Names an attempt whose end is recorded without an answer: not dispatched, or dispatched with its answer lost. */
export interface JournalAbandon {
  readonly account: string;
  readonly service: string;
  readonly key: string;
  readonly attemptId: string;
}
