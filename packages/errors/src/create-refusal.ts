import type { Outcome, Refusal, RefusalCode } from '@laburnumshift/types';
import { REFUSAL_STATUS } from './refusal-status.js';

/**
 * Creates the final negative answer to a caller.
 *
 * @param outcome whether the call had an effect; `not run` only when that is certain
 * @param retryAfterMs when to try again, milliseconds from now; absent when a retry cannot help
 */
export function createRefusal(
  code: RefusalCode,
  message: string,
  outcome: Outcome,
  retryAfterMs?: number,
): Refusal {
  return { code, status: REFUSAL_STATUS[code], message, outcome, retryAfterMs };
}
