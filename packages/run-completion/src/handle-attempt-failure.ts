import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import { renderPeerError } from '@laburnumshift/errors';
import type { EngineClient, Grant, PeerError, Refusal } from '@laburnumshift/types';
import type { AttemptResult } from './attempt-result.js';
import { createFailure } from './create-failure.js';
import { probeEngine } from './probe-engine.js';
import type { RunState } from './run-state.js';
import { traceStep } from './trace-step.js';

/** Placements per run after another version or a leaving engine; more means that the homes' view is stale. */
const MAX_REDIRECTS = 8;
/** Time to retry after when engines failed; a failed engine is out of every route within 3 s. */
const RETRY_AFTER_MS = 1_000;
/** Failures on one live engine before the run avoids it. */
const MAX_ENGINE_FAILURES = 2;

/** Decides after a failed attempt: `undefined` to place again, or the final refusal, at once. */
export async function handleFailure(
  state: RunState,
  grant: Grant,
  engine: EngineClient,
  result: Extract<AttemptResult, { kind: 'failed' }>,
): Promise<Refusal | undefined> {
  const { error } = result;
  const knownBootId = result.bootId ?? state.deps.bootIds.get(grant.engine);
  const failedAtMs = readMonotonicMs();
  traceStep(state, 'attempt-failed', {
    engine: grant.engine,
    error: renderPeerError(error),
    offset: state.job.startOffset + state.texts.length,
  });
  if (state.signal.aborted) return createFailure(state, 'backend_failed', 'the run was cancelled', 0);
  if (state.texts.length > 0) state.deadlineMs = failedAtMs + state.service.deadlineMs;
  if (error.kind === 'version-mismatch' || error.kind === 'leaving') return routeAgain(state, grant, error);
  if (isFinal(error)) return createFailure(state, 'backend_failed', 'the engine rejected the request');
  const checking = checkEngine(state, grant, engine, error, knownBootId);
  const pauseMs = planRetry(state);
  if (typeof pauseMs !== 'number') {
    // The final answer does not wait for the probe of an engine that may be silent.
    checking.catch((reason: unknown) => {
      traceStep(state, 'probe-failed', { reason: String(reason) });
    });
    return pauseMs;
  }
  await Promise.all([checking, sleep(pauseMs, state.signal)]);
  return undefined;
}

function routeAgain(
  state: RunState,
  grant: Grant,
  error: Extract<PeerError, { kind: 'version-mismatch' | 'leaving' }>,
): Refusal | undefined {
  state.redirects += 1;
  if (state.redirects > MAX_REDIRECTS) {
    return createFailure(state, 'backend_failed', 'no engine took the request', RETRY_AFTER_MS);
  }
  const known = error.kind === 'leaving' || state.texts.length > 0 || state.version === error.actual;
  if (known) state.exclude.add(grant.engine);
  if (error.kind === 'version-mismatch' && state.texts.length === 0) state.version = error.actual;
  return undefined;
}

function isFinal(error: PeerError): boolean {
  return error.kind === 'rejected' && error.status < 500 && error.status !== 429 && error.status !== 408;
}

async function checkEngine(
  state: RunState,
  grant: Grant,
  engine: EngineClient,
  error: PeerError,
  knownBootId: string | undefined,
): Promise<void> {
  const { deps } = state;
  const failure = { pool: state.pool.name, cell: state.cell, engine: grant.engine };
  if (!error.sent) {
    state.exclude.add(grant.engine);
    deps.reportFailure({ ...failure, crashed: false });
    return;
  }
  const probe = await probeEngine(engine, knownBootId);
  traceStep(state, 'engine-probed', { engine: grant.engine, ...probe });
  if (probe.bootId !== undefined) deps.bootIds.set(grant.engine, probe.bootId);
  const failures = (state.failures.get(grant.engine) ?? 0) + 1;
  state.failures.set(grant.engine, failures);
  if (probe.state === 'alive') {
    if (error.kind === 'bad-answer' || failures >= MAX_ENGINE_FAILURES) state.exclude.add(grant.engine);
    return;
  }
  state.exclude.add(grant.engine);
  deps.reportFailure({ ...failure, crashed: probe.state === 'crashed', bootId: probe.bootId });
  if (probe.state === 'crashed') {
    await deps.quarantine.reportCrash(state.fingerprint, grant.engine, state.pool.name, state.isolated);
  }
}

/** Takes a retry from the budgets and gives the pause before it, milliseconds, or the final refusal. */
function planRetry(state: RunState): number | Refusal {
  const { service, deps } = state;
  const scope = { service: service.name, account: state.job.account.name, pool: state.pool.name };
  const refuse = (message: string): Refusal =>
    createFailure(state, 'backend_failed', message, RETRY_AFTER_MS);
  if (state.attempts >= service.retry.maxAttempts) return refuse('all attempts failed');
  if (!deps.retryBudget.takeRetry(scope, service.retry)) return refuse('the retry budget is used up');
  const pauseMs = deps.retryBudget.computeBackoff(state.attempts);
  if (readMonotonicMs() + pauseMs >= state.deadlineMs) return refuse('no time is left for another attempt');
  return pauseMs;
}
