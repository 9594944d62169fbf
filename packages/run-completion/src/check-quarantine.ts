import { readMonotonicMs, readWallMs, sleep } from '@laburnumshift/clock';
import { createRefusal } from '@laburnumshift/errors';
import type { Refusal } from '@laburnumshift/types';
import { OUTCOMES } from '@laburnumshift/types';
import { createFailure } from './create-failure.js';
import type { RunState } from './run-state.js';
import { traceStep } from './trace-step.js';

/** Asks whether the request may run; waits while another run of a suspect goes on and the deadline allows it. */
export async function checkQuarantine(state: RunState): Promise<Refusal | undefined> {
  for (;;) {
    const decision = await state.deps.quarantine.checkRequest(state.fingerprint, state.runId);
    if (decision.kind !== 'clean') traceStep(state, 'quarantine', { ...decision });
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
      return createFailure(state, 'overloaded', message, decision.retryAfterMs);
    }
    await sleep(decision.retryAfterMs, state.signal);
  }
}
