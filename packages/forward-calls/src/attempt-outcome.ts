import type { ResponseHead } from '@laburnumshift/forward-types';

/**
 * Outcome of one attempt, that is, of sending the call to one backend server.
 *
 * - `delivered`: the complete answer was written to the caller.
 * - `answered`: the server's complete answer is buffered; `decideNextStep` decides whether the caller gets it.
 * - `not-run`: the server did not run the call and never will. `isSent` is false when no byte of the call was sent.
 * - `broken`: the attempt failed before any byte was written to the caller; the server may have run the call.
 * - `cut`: a stream failed after events were written to the caller.
 * - `ended`: the caller disconnected, or the deadline of the call passed.
 */
export type AttemptOutcome =
  | { readonly kind: 'delivered'; readonly status: number }
  | { readonly kind: 'answered'; readonly head: ResponseHead; readonly body: Buffer }
  | { readonly kind: 'not-run'; readonly reason: string; readonly isSent: boolean }
  | { readonly kind: 'broken'; readonly reason: string }
  | { readonly kind: 'cut'; readonly reason: string }
  | { readonly kind: 'ended' };
