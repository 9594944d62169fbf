import type { EnginePlacement, Refusal, Result } from '@laburnumshift/types';
import { placeAttempt } from './place-attempt.js';
import type { RunState } from './run-state.js';
import { traceRun } from './trace-run.js';

/**
 * Places an attempt on the weight version that produced the tokens sent so far, if an engine still runs it, otherwise on
 * any version. When tokens were sent and the version changes, all pieces are recomputed, and the trace records that the
 * answer contains tokens of two versions.
 *
 * @returns the grant, and whether the engine must not use cached pieces; or the refusal of the placement
 */
export async function placeOnVersion(
  state: RunState,
  attemptId: string,
): Promise<Result<{ readonly grant: EnginePlacement; readonly recompute: boolean }, Refusal>> {
  const wanted = state.version;
  let placed = await placeAttempt(state, attemptId, wanted);
  if (!placed.ok && placed.error.code === 'no_backend_server' && wanted !== undefined) {
    placed = await placeAttempt(state, attemptId, undefined);
  }
  if (!placed.ok) return placed;
  const grant = placed.value;
  const recompute = wanted !== undefined && grant.weightVersion !== wanted && state.texts.length > 0;
  if (recompute) {
    traceRun(state, 'version-changed', {
      from: wanted,
      to: grant.weightVersion,
      offset: state.texts.length,
    });
  }
  return { ok: true, value: { grant, recompute } };
}
