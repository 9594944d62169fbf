import type { EntryError } from './entry-error.js';

/** Result of a completion. Times are milliseconds since the request was sent. */
export interface CompletionResult {
  /** Output tokens in order, starting at the requested offset. */
  readonly tokens: readonly string[];
  readonly firstTokenMs: number | undefined;
  readonly totalMs: number;
  /** True when the response was complete. */
  readonly finished: boolean;
  readonly error?: EntryError | undefined;
}
