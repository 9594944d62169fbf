import type { CallResponse } from './call-response.js';

/** Records the answer of a non-idempotent call. */
export interface JournalFinish {
  readonly account: string;
  readonly service: string;
  readonly key: string;
  readonly attemptId: string;
  readonly answer: CallResponse;
}
