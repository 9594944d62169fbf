import type { Outcome, Refusal, RefusalCode } from '@laburnumshift/types';
import { REFUSAL_HTTP_STATUS } from './refusal-http-status.js';

/**
 * Creates a refusal, the final error answer to a caller. Its HTTP status follows from the code.
 *
 * @param outcome whether the call ran; `not run` only when it is certain that it did not
 * @param retryAfterMs time after which the caller may try again, milliseconds from now; absent when a retry cannot help
 */
export function createRefusal(
  code: RefusalCode,
  message: string,
  outcome: Outcome,
  retryAfterMs?: number,
): Refusal {
  return { code, status: REFUSAL_HTTP_STATUS[code], message, outcome, retryAfterMs };
}
