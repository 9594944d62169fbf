import { readMonotonicMs, readWallMs, sleep } from '@laburnumshift/clock';
import { createRefusal } from '@laburnumshift/errors';
import type { Refusal } from '@laburnumshift/types';
import { OUTCOMES } from '@laburnumshift/types';
import { createRunRefusal } from './create-run-refusal.js';
import type { RunState } from './run-state.js';
import { traceRun } from './trace-run.js';

/**
 * Checks whether the quarantine lets the request run. While another run of a request that may have crashed an engine is
 * in progress, this waits as long as the deadline allows. Sets `state.isolated` when the request must run without other
 * suspects.
 *
 * @returns the refusal when the request is convicted or another run of it goes on, otherwise `undefined`
 */
export async function checkQuarantine(state: RunState): Promise<Refusal | undefined> {
  for (;;) {
    const decision = await state.deps.quarantine.checkRequest(state.fingerprint, state.runId);
    if (decision.kind !== 'clean') traceRun(state, 'quarantine', { ...decision });
    if (decision.kind === 'convicted') {
      const message = 'the request crashed more than one engine and is refused for a while';
      const retryAfterMs = Math.max(0, decision.untilMs - readWallMs());
      return createRefusal('request_crashed_engine', message, OUTCOMES.ran, retryAfterMs);
    }
    if (decision.kind !== 'busy') {
      state.isolated = decision.kind === 'isolate';
      return undefined;
    }
    const remainingMs = state.deadlineMs - readMonotonicMs();
    if (decision.retryAfterMs >= remainingMs || state.signal.aborted) {
      const message = 'another run of this request, which may have crashed an engine, is in progress';
      return createRunRefusal(state, 'overloaded', message, decision.retryAfterMs);
    }
    await sleep(decision.retryAfterMs, state.signal);
  }
}
