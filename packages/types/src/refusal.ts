import type { Outcome } from './outcome.js';
import type { RefusalCode } from './refusal-code.js';

/** A final negative answer to a caller. */
export interface Refusal {
  readonly code: RefusalCode;
  /** HTTP status code. */
  readonly status: number;
  readonly message: string;
  readonly outcome: Outcome;
  /** When to try again, milliseconds from now. */
  readonly retryAfterMs?: number | undefined;
}
