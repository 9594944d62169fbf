import type { AnswerHead } from '@laburnumshift/forward-types';

/** What follows an attempt. */
export type NextStep =
  | { readonly kind: 'done' }
  | { readonly kind: 'send' }
  | { readonly kind: 'pass'; readonly head: AnswerHead; readonly body: Buffer }
  /** The call has not run and never will. */
  | { readonly kind: 'refuse' }
  | { readonly kind: 'fail'; readonly status: 502 | 504 }
  /** Events were passed on: the connection ends. */
  | { readonly kind: 'abort' };
