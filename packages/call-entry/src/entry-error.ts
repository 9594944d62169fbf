import type { Outcome } from '@laburnumshift/types';

/** What a caller got in place of an answer. */
export type EntryError =
  | {
      readonly kind: 'refused';
      readonly status: number;
      readonly code: string;
      readonly outcome: Outcome;
      readonly retryAfterMs?: number | undefined;
    }
  /** The connection failed or the answer was cut: the caller knows nothing about the outcome. */
  | { readonly kind: 'cut'; readonly detail: string };
