import type { LoadRequest } from './load-request.js';

/** What became of one request, over all its resends. Times are milliseconds. */
export interface RequestRecord {
  readonly request: LoadRequest;
  readonly sentAtMs: number;
  /** From the first sending to the first token, or to the answer of a plain call. */
  readonly firstTokenMs: number | undefined;
  readonly totalMs: number;
  readonly finished: boolean;
  /** Codes of the refusals, in order. */
  readonly refusals: readonly string[];
  /** Answers or connections that were cut, and why. */
  readonly cuts: readonly string[];
  readonly attempts: number;
  /** Instance that answered a plain call. */
  readonly server?: string | undefined;
}
