import type { Outcome } from './outcome.js';
import type { RefusalCode } from './refusal-code.js';

/** A final error answer to a caller. */
export interface Refusal {
  readonly code: RefusalCode;
  /** HTTP status code. */
  readonly status: number;
  readonly message: string;
  readonly outcome: Outcome;
  /** Time after which the caller may try again, milliseconds. */
  readonly retryAfterMs?: number | undefined;
}
