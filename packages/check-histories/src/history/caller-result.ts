import type { Outcome } from '@laburnumshift/types';

/** How an operation ended for its caller. */
export type CallerResult =
  | { readonly kind: 'answered' }
  | { readonly kind: 'refused'; readonly code: string; readonly outcome: Outcome }
  /** The connection failed or the answer was cut. */
  | { readonly kind: 'cut'; readonly detail: string }
  /** No connection could be opened. */
  | { readonly kind: 'unreached' }
  /** The caller stopped waiting. */
  | { readonly kind: 'gave-up' };
