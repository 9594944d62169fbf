import { createRefusal } from '@laburnumshift/errors';
import type { CallResponse, Refusal, Result } from '@laburnumshift/types';
import { OUTCOMES } from '@laburnumshift/types';
import { resolveRoute } from '@laburnumshift/resolve-route';
import type { CallDependencies } from './call-dependencies.js';
import type { AcceptedCall } from './accepted-call.js';
import type { CallState } from './call-state.js';
import { dispatchCall } from './dispatch-call.js';
import { dispatchToOlderSystem } from './dispatch-to-older-system.js';
import { runNonIdempotentCall } from './run-non-idempotent-call.js';

const NOT_READY_RETRY_AFTER_MS = 1_000;

/**
 * Runs one plain service call. An idempotent call may be retried within the retry budget. A non-idempotent call runs at
 * most once per idempotency key.
 *
 * @param signal aborts when the caller disconnects; a call that was sent is not interrupted, and the answer of a
 *   non-idempotent one is recorded
 */
export async function runCall(
  request: AcceptedCall,
  deps: CallDependencies,
  signal: AbortSignal,
): Promise<Result<CallResponse, Refusal>> {
  const refuse = (...refusal: Parameters<typeof createRefusal>): Result<CallResponse, Refusal> => ({
    ok: false,
    error: createRefusal(...refusal),
  });
  const config = deps.getConfig();
  if (config === undefined) {
    return refuse('not_ready', 'no configuration yet', OUTCOMES.notRun, NOT_READY_RETRY_AFTER_MS);
  }
  const resolved = resolveRoute(config, request.account.name, request.service, 'plain');
  if (!resolved.ok) return resolved;
  const { service, pool } = resolved.value;
  const reserved = deps.reserveQuota?.(request.account.name, 0);
  if (reserved?.ok === false) {
    return refuse('rate_limited', 'the account is over its limits', OUTCOMES.notRun, reserved.error);
  }
  const { cutover } = service;
  const older = cutover === undefined ? undefined : deps.getOlderSystem?.(cutover.olderUrl);
  const conversation = request.idempotencyKey ?? request.requestId;
  const chosenSystem = cutover && older && deps.chooseSystem?.(request.account.name, conversation, cutover);
  const state: CallState = {
    request,
    deps,
    signal,
    service,
    pool,
    older,
    system: chosenSystem ?? 'own',
    exclude: new Set(),
    deadlineMs: request.acceptedAtMs + service.deadlineMs,
    attempts: 0,
    sent: false,
  };
  const scope = { service: service.name, account: request.account.name, pool: pool.name };
  deps.retryBudget.recordAttempt(scope, service.retry);
  try {
    if (!service.idempotent) return await runNonIdempotentCall(state);
    if (older !== undefined && state.system === 'older') return await dispatchToOlderSystem(state, older, 0);
    return await dispatchCall(state, 0);
  } finally {
    if (reserved?.ok === true) reserved.value();
  }
}
