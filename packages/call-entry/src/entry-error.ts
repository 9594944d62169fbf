import type { Outcome } from '@laburnumshift/types';

/** Failure of a request to an entry node: a refusal of the node, or a failed connection. */
export type EntryError =
  | {
      readonly kind: 'refused';
      readonly status: number;
      readonly code: string;
      readonly outcome: Outcome;
      readonly retryAfterMs?: number | undefined;
    }
  /** The connection failed or the response was incomplete or invalid, so the outcome is not known. */
  | { readonly kind: 'cut'; readonly detail: string };
