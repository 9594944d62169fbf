import { createRefusal } from '@laburnumshift/errors';
import type { Refusal, RefusalCode } from '@laburnumshift/types';
import { OUTCOMES } from '@laburnumshift/types';
import type { RunState } from './run-state.js';

/** Creates the final refusal of a run: `ran` once tokens were produced, `not run` while no byte left, else `unknown`. */
export function createFailure(
  state: RunState,
  code: RefusalCode,
  message: string,
  retryAfterMs?: number,
): Refusal {
  const outcome = state.texts.length > 0 ? OUTCOMES.ran : state.sent ? OUTCOMES.unknown : OUTCOMES.notRun;
  return createRefusal(code, message, outcome, retryAfterMs);
}
