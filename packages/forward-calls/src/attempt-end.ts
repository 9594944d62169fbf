import type { AnswerHead } from '@laburnumshift/forward-types';

/**
 * How an attempt at one server ended. `delivered`: the caller has the whole answer. `answered`: the server's answer is held
 * back for a decision. `not-run`: the server did not run the call and never will. `broken`: it may have run and nothing was
 * passed on. `cut`: a stream broke after events were passed on. `ended`: the caller left or the time was over.
 */
export type AttemptEnd =
  | { readonly kind: 'delivered'; readonly status: number }
  | { readonly kind: 'answered'; readonly head: AnswerHead; readonly body: Buffer }
  | { readonly kind: 'not-run'; readonly reason: string; readonly isSent: boolean }
  | { readonly kind: 'broken'; readonly reason: string }
  | { readonly kind: 'cut'; readonly reason: string }
  | { readonly kind: 'ended' };
