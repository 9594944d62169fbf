import type { EntryError } from './entry-error.js';

/** A completion as a caller saw it. Times are milliseconds from sending. */
export interface CompletionOutput {
  /** Output tokens in order, from the offset that was asked for. */
  readonly tokens: readonly string[];
  readonly firstTokenMs: number | undefined;
  readonly totalMs: number;
  /** True when the answer was whole. */
  readonly finished: boolean;
  readonly error?: EntryError | undefined;
}
