import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import { renderPeerError } from '@laburnumshift/errors';
import type { EngineClient, EnginePlacement, PeerError, Refusal } from '@laburnumshift/types';
import type { AttemptResult } from './attempt-result.js';
import { createRunRefusal } from './create-run-refusal.js';
import { probeEngine } from './probe-engine.js';
import type { RunState } from './run-state.js';
import { traceRun } from './trace-run.js';

/**
 * Limit for the placements of a run that were repeated because an engine was leaving or ran another weight version. More
 * of them show that the home nodes have outdated data about the engines.
 */
const MAX_REDIRECTS = 8;
/** Time after which the caller may retry when engines failed. A failed engine is out of every route within 3 s. */
const RETRY_AFTER_MS = 1_000;
/** Failed attempts on an engine that is alive after which the run avoids the engine. */
const MAX_ENGINE_FAILURES = 2;

/**
 * Decides what follows a failed attempt, and reports the engine when it has failed. The backoff of a retry has passed
 * when this returns. A final refusal does not wait for anything.
 *
 * @returns `undefined` when the run is to be placed again, otherwise the final refusal
 */
export async function handleAttemptFailure(
  state: RunState,
  grant: EnginePlacement,
  engine: EngineClient,
  result: Extract<AttemptResult, { kind: 'failed' }>,
): Promise<Refusal | undefined> {
  const { error } = result;
  const knownBootId = result.bootId ?? state.deps.bootIds.get(grant.engine);
  const failedAtMs = readMonotonicMs();
  traceRun(state, 'attempt-failed', {
    engine: grant.engine,
    error: renderPeerError(error),
    offset: state.request.startOffset + state.texts.length,
  });
  if (state.signal.aborted) return createRunRefusal(state, 'backend_failed', 'the run was cancelled', 0);
  if (state.texts.length > 0) state.deadlineMs = failedAtMs + state.service.deadlineMs;
  if (error.kind === 'version-mismatch' || error.kind === 'leaving')
    return retryPlacement(state, grant, error);
  if (isNonRetryable(error))
    return createRunRefusal(state, 'backend_failed', 'the engine rejected the request');
  const engineCheck = checkFailedEngine(state, grant, engine, error, knownBootId);
  const pauseMs = planRetry(state);
  if (typeof pauseMs !== 'number') {
    // The refusal does not wait for the probe, because the engine may not answer.
    engineCheck.catch((reason: unknown) => {
      traceRun(state, 'probe-failed', { reason: String(reason) });
    });
    return pauseMs;
  }
  await Promise.all([engineCheck, sleep(pauseMs, state.signal)]);
  return undefined;
}

/** Permits another placement without a retry from the budget, at most `MAX_REDIRECTS` times per run. */
function retryPlacement(
  state: RunState,
  grant: EnginePlacement,
  error: Extract<PeerError, { kind: 'version-mismatch' | 'leaving' }>,
): Refusal | undefined {
  state.redirects += 1;
  if (state.redirects > MAX_REDIRECTS) {
    return createRunRefusal(state, 'backend_failed', 'no engine took the request', RETRY_AFTER_MS);
  }
  const mustExclude = error.kind === 'leaving' || state.texts.length > 0 || state.version === error.actual;
  if (mustExclude) state.exclude.add(grant.engine);
  if (error.kind === 'version-mismatch' && state.texts.length === 0) state.version = error.actual;
  return undefined;
}

/** True for a client error of HTTP that another engine would answer in the same way. */
function isNonRetryable(error: PeerError): boolean {
  return error.kind === 'rejected' && error.status < 500 && error.status !== 429 && error.status !== 408;
}

/**
 * Finds out whether the engine of a failed attempt is still usable. Excludes an unusable one from the run and reports its
 * failure, and a crash to the quarantine too. An engine that no byte reached is reported without a probe.
 */
async function checkFailedEngine(
  state: RunState,
  grant: EnginePlacement,
  engine: EngineClient,
  error: PeerError,
  knownBootId: string | undefined,
): Promise<void> {
  const { deps } = state;
  const failure = { pool: state.pool.name, cell: state.cell, engine: grant.engine };
  if (!error.sent) {
    state.exclude.add(grant.engine);
    deps.reportEngineFailure({ ...failure, crashed: false });
    return;
  }
  const probe = await probeEngine(engine, knownBootId);
  traceRun(state, 'engine-probed', { engine: grant.engine, ...probe });
  if (probe.bootId !== undefined) deps.bootIds.set(grant.engine, probe.bootId);
  const failures = (state.failures.get(grant.engine) ?? 0) + 1;
  state.failures.set(grant.engine, failures);
  if (probe.state === 'alive') {
    if (error.kind === 'bad-answer' || failures >= MAX_ENGINE_FAILURES) state.exclude.add(grant.engine);
    return;
  }
  state.exclude.add(grant.engine);
  deps.reportEngineFailure({ ...failure, crashed: probe.state === 'crashed', bootId: probe.bootId });
  if (probe.state === 'crashed') {
    await deps.quarantine.reportCrash(state.fingerprint, grant.engine, state.pool.name, state.isolated);
  }
}

/** Takes one retry from the budget. Returns the backoff before it, milliseconds, or the final refusal. */
function planRetry(state: RunState): number | Refusal {
  const { service, deps } = state;
  const scope = { service: service.name, account: state.request.account.name, pool: state.pool.name };
  const refuse = (message: string): Refusal =>
    createRunRefusal(state, 'backend_failed', message, RETRY_AFTER_MS);
  if (state.attempts >= service.retry.maxAttempts) return refuse('all attempts failed');
  if (!deps.retryBudget.takeRetry(scope, service.retry)) return refuse('the retry budget is used up');
  const pauseMs = deps.retryBudget.computeBackoff(state.attempts);
  if (readMonotonicMs() + pauseMs >= state.deadlineMs) return refuse('no time is left for another attempt');
  return pauseMs;
}
