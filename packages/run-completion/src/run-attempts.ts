import type { RunEnd } from '@laburnumshift/types';
import { createFailure } from './create-failure.js';
import { checkQuarantine } from './check-quarantine.js';
import { handleFailure } from './handle-failure.js';
import { observeBootId } from './observe-boot-id.js';
import { placeVersion } from './place-version.js';
import type { RunState } from './run-state.js';
import { streamAttempt } from './stream-attempt.js';
import { traceStep } from './trace-step.js';

/** Places and streams until the answer is whole or the run is given up. */
export async function runAttempts(state: RunState): Promise<RunEnd> {
  const { deps, fingerprint, runId } = state;
  for (;;) {
    const refusal = await checkQuarantine(state);
    if (refusal !== undefined) return { kind: 'refused', refusal };
    const attemptId = `${runId}.${String(state.attempts + state.redirects)}`;
    const placed = await placeVersion(state, attemptId);
    if (!placed.ok) return { kind: 'refused', refusal: placed.error };
    if (state.signal.aborted) {
      return { kind: 'refused', refusal: createFailure(state, 'backend_failed', 'the run was cancelled', 0) };
    }
    const { grant, recompute } = placed.value;
    const engine = deps.getEngine(grant.engine, grant.url);
    await observeBootId(state, grant.engine, engine);
    const result = await streamAttempt(state, grant, engine, attemptId, recompute);
    if (result.kind === 'finished') {
      deps.quarantine.reportFinish(fingerprint, runId);
      traceStep(state, 'finished', {
        engine: grant.engine,
        tokens: state.texts.length,
        reason: result.reason,
      });
      return result;
    }
    const { kind } = result.error;
    if (kind !== 'version-mismatch' && kind !== 'leaving') state.attempts += 1;
    const failure = await handleFailure(state, grant, engine, result);
    if (failure !== undefined) return { kind: 'refused', refusal: failure };
  }
}
