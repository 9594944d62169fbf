import type { Refusal } from './refusal.js';

/** How a run ended. */
export type RunEnd =
  | { readonly kind: 'finished'; readonly reason: 'stop' | 'length' }
  | { readonly kind: 'refused'; readonly refusal: Refusal };
