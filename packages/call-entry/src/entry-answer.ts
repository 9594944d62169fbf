import type { EntryError } from './entry-error.js';

/** The answer to a plain call. */
export type EntryAnswer =
  | { readonly kind: 'answered'; readonly status: number; readonly body: string; readonly totalMs: number }
  | { readonly kind: 'failed'; readonly error: EntryError; readonly totalMs: number };
