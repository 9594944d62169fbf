/** Takes back an attempt that was surely not dispatched. */
export interface JournalAbandon {
  readonly account: string;
  readonly service: string;
  readonly key: string;
  readonly attemptId: string;
}
