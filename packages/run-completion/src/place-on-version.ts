import type { Grant, Refusal, Result } from '@laburnumshift/types';
import { placeAttempt } from './place-attempt.js';
import type { RunState } from './run-state.js';
import { traceStep } from './trace-step.js';

/**
 * Places an attempt, on the weight version of the tokens passed on if any engine still runs it. Otherwise any version will
 * do; when tokens were passed on, everything is then recomputed and the trace says that the answer has two versions.
 */
export async function placeVersion(
  state: RunState,
  attemptId: string,
): Promise<Result<{ readonly grant: Grant; readonly recompute: boolean }, Refusal>> {
  const wanted = state.version;
  let placed = await placeAttempt(state, attemptId, wanted);
  if (!placed.ok && placed.error.code === 'no_backend_server' && wanted !== undefined) {
    placed = await placeAttempt(state, attemptId, undefined);
  }
  if (!placed.ok) return placed;
  const grant = placed.value;
  const recompute = wanted !== undefined && grant.weightVersion !== wanted && state.texts.length > 0;
  if (recompute) {
    traceStep(state, 'version-changed', {
      from: wanted,
      to: grant.weightVersion,
      offset: state.texts.length,
    });
  }
  return { ok: true, value: { grant, recompute } };
}
