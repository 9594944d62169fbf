/**
 * Reason why a call has no complete answer.
 *
 * - `not-sent`: no byte of the call reached the server.
 * - `sent`: the server may have run the call, and its answer has not begun.
 * - `answering`: the answer ended before it was complete.
 * - `foreign`: the answer has the id of another call, or none on a connection that had earlier calls.
 */
export interface SendFailure {
  readonly type: 'not-sent' | 'sent' | 'answering' | 'foreign';
  readonly reason: string;
  /** The server sent more bytes that are no answer than any answer has. */
  readonly isEndless?: boolean;
}
