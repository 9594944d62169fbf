import type { RunEnd } from '@laburnumshift/types';
import { createRunRefusal } from './create-run-refusal.js';
import { checkQuarantine } from './check-quarantine.js';
import { handleAttemptFailure } from './handle-attempt-failure.js';
import { observeBootId } from './observe-boot-id.js';
import { placeOnVersion } from './place-on-version.js';
import type { RunState } from './run-state.js';
import { streamAttempt } from './stream-attempt.js';
import { traceRun } from './trace-run.js';

/** Places and streams attempts until the answer is complete or the run is refused. */
export async function runAttempts(state: RunState): Promise<RunEnd> {
  const { deps, fingerprint, runId } = state;
  for (;;) {
    const refusal = await checkQuarantine(state);
    if (refusal !== undefined) return { kind: 'refused', refusal };
    const attemptId = `${runId}.${String(state.attempts + state.redirects)}`;
    const placed = await placeOnVersion(state, attemptId);
    if (!placed.ok) return { kind: 'refused', refusal: placed.error };
    if (state.signal.aborted) {
      return {
        kind: 'refused',
        refusal: createRunRefusal(state, 'backend_failed', 'the run was cancelled', 0),
      };
    }
    const { grant, recompute } = placed.value;
    const engine = deps.getEngineClient(grant.engine, grant.url);
    await observeBootId(state, grant.engine, engine);
    const result = await streamAttempt(state, grant, engine, attemptId, recompute);
    if (result.kind === 'finished') {
      deps.quarantine.reportFinish(fingerprint, runId);
      traceRun(state, 'finished', {
        engine: grant.engine,
        tokens: state.texts.length,
        reason: result.reason,
      });
      return result;
    }
    const { kind } = result.error;
    if (kind !== 'version-mismatch' && kind !== 'leaving') state.attempts += 1;
    const failure = await handleAttemptFailure(state, grant, engine, result);
    if (failure !== undefined) return { kind: 'refused', refusal: failure };
  }
}
