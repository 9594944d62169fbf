import type { EntryError } from './entry-error.js';

/** Result of a call to a plain service. `totalMs` is the time since the request was sent, milliseconds. */
export type EntryCallResult =
  | { readonly kind: 'answered'; readonly status: number; readonly body: string; readonly totalMs: number }
  | { readonly kind: 'failed'; readonly error: EntryError; readonly totalMs: number };
