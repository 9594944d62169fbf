import { createRefusal } from '@laburnumshift/errors';
import type { CallAnswer, Refusal, Result } from '@laburnumshift/types';
import { OUTCOMES } from '@laburnumshift/types';
import { resolveRoute } from '@laburnumshift/resolve-route';
import type { CallDependencies } from './call-dependencies.js';
import type { CallJob } from './call-job.js';
import type { CallState } from './call-state.js';
import { dispatchCall } from './dispatch-call.js';
import { dispatchOlder } from './dispatch-older.js';
import { runJournaled } from './run-journaled.js';

const NOT_READY_RETRY_MS = 1_000;

/**
 * Runs one plain service call. An idempotent call may be sent again within the retry budgets; any other runs at most once
 * under its key.
 *
 * @param signal aborts when the caller goes away; a call that was sent goes on, and its answer is recorded
 */
export async function runCall(
  job: CallJob,
  deps: CallDependencies,
  signal: AbortSignal,
): Promise<Result<CallAnswer, Refusal>> {
  const refuse = (...refusal: Parameters<typeof createRefusal>): Result<CallAnswer, Refusal> => ({
    ok: false,
    error: createRefusal(...refusal),
  });
  const config = deps.getConfig();
  if (config === undefined) {
    return refuse('not_ready', 'no configuration yet', OUTCOMES.notRun, NOT_READY_RETRY_MS);
  }
  const resolved = resolveRoute(config, job.account.name, job.service, 'plain');
  if (!resolved.ok) return resolved;
  const { service, pool } = resolved.value;
  const taken = deps.takeLimits?.(job.account.name, 0);
  if (taken?.ok === false) {
    return refuse('rate_limited', 'the account is over its limits', OUTCOMES.notRun, taken.error);
  }
  const { cutover } = service;
  const older = cutover === undefined ? undefined : deps.getOlder?.(cutover.olderUrl);
  const conversation = job.idempotencyKey ?? job.requestId;
  const chosen = cutover && older && deps.chooseSystem?.(job.account.name, conversation, cutover);
  const state: CallState = {
    job,
    deps,
    signal,
    service,
    pool,
    older,
    system: chosen ?? 'own',
    exclude: new Set(),
    deadlineMs: job.acceptedAtMs + service.deadlineMs,
    attempts: 0,
    sent: false,
  };
  const scope = { service: service.name, account: job.account.name, pool: pool.name };
  deps.retryBudget.recordAttempt(scope, service.retry);
  try {
    if (!service.idempotent) return await runJournaled(state);
    if (older !== undefined && state.system === 'older') return await dispatchOlder(state, older, 0);
    return await dispatchCall(state, 0);
  } finally {
    if (taken?.ok === true) taken.value();
  }
}
