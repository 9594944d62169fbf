import { createRefusal } from '@laburnumshift/errors';
import type { Refusal, RefusalCode } from '@laburnumshift/types';
import { OUTCOMES } from '@laburnumshift/types';
import type { RunState } from './run-state.js';

/**
 * Creates the final refusal of a run. Its outcome is `ran` once tokens were produced, `not run` while no byte was sent to
 * a backend server, otherwise `unknown`.
 *
 * @param retryAfterMs time after which the caller may try again, milliseconds from now; absent when a retry cannot help
 */
export function createRunRefusal(
  state: RunState,
  code: RefusalCode,
  message: string,
  retryAfterMs?: number,
): Refusal {
  const outcome = state.texts.length > 0 ? OUTCOMES.ran : state.sent ? OUTCOMES.unknown : OUTCOMES.notRun;
  return createRefusal(code, message, outcome, retryAfterMs);
}
