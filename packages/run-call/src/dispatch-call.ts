import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import { createRefusal, renderPeerError } from '@laburnumshift/errors';
import type { CallAnswer, PeerError, Refusal, Result } from '@laburnumshift/types';
import { OUTCOMES } from '@laburnumshift/types';
import type { CallState } from './call-state.js';
import { chooseServer } from './choose-server.js';
import { traceCall } from './trace-call.js';

const RETRY_AFTER_MS = 1_000;

/**
 * Sends a call to servers of the pool until one answers. A server that refuses because it leaves, and one that no byte
 * reached, is replaced by another; after any other failure only an idempotent call is sent again.
 *
 * @param lateMs time beyond the deadline that a sent call may still take, milliseconds
 */
export async function dispatchCall(state: CallState, lateMs: number): Promise<Result<CallAnswer, Refusal>> {
  const { deps, service, job } = state;
  const idempotent = service.idempotent;
  for (;;) {
    const remainingMs = state.deadlineMs - readMonotonicMs();
    if (remainingMs <= 0) return refuseCall(state, 'deadline_unreachable', 'the deadline cannot be met');
    if (state.signal.aborted) return refuseCall(state, 'backend_failed', 'the caller is gone');
    const server = chooseServer(state);
    if (server === undefined) return refuseCall(state, 'no_backend_server', 'no server can take the call');
    const client = deps.getServer(server.name, server.url);
    state.attempts += 1;
    const sentCall = client.sendCall(job.call, remainingMs + lateMs, !idempotent);
    const answer = await sentCall.catch(toBroken);
    traceCall(state, 'dispatched', {
      server: server.name,
      result: answer.ok ? answer.value.status : renderPeerError(answer.error),
    });
    if (answer.ok) return answer;
    const { error } = answer;
    state.exclude.add(server.name);
    deps.reportServer(server.name, error.kind === 'leaving' ? 'leaving' : 'failed');
    if (error.kind === 'leaving') continue;
    if (error.sent) state.sent = true;
    if (error.sent && !idempotent) {
      return refuseCall(state, 'outcome_unknown', 'the answer of the server was lost');
    }
    const refusal = await retryCall(state);
    if (refusal !== undefined) return refusal;
  }
}

async function retryCall(state: CallState): Promise<Result<CallAnswer, Refusal> | undefined> {
  const { deps, service, job, pool } = state;
  const scope = { service: service.name, account: job.account.name, pool: pool.name };
  if (state.attempts >= service.retry.maxAttempts) {
    return refuseCall(state, 'backend_failed', 'all attempts failed');
  }
  if (!deps.retryBudget.takeRetry(scope, service.retry)) {
    return refuseCall(state, 'backend_failed', 'the retry budget is used up');
  }
  const pauseMs = deps.retryBudget.computeBackoff(state.attempts);
  if (readMonotonicMs() + pauseMs >= state.deadlineMs) {
    return refuseCall(state, 'backend_failed', 'no time is left for another attempt');
  }
  await sleep(pauseMs, state.signal);
  return undefined;
}

function refuseCall(
  state: CallState,
  code: 'deadline_unreachable' | 'backend_failed' | 'no_backend_server' | 'outcome_unknown',
  message: string,
): Result<CallAnswer, Refusal> {
  const outcome = state.sent ? OUTCOMES.unknown : OUTCOMES.notRun;
  const retryAfterMs = code === 'outcome_unknown' ? undefined : RETRY_AFTER_MS;
  return { ok: false, error: createRefusal(code, message, outcome, retryAfterMs) };
}

function toBroken(error: unknown): Result<CallAnswer, PeerError> {
  return { ok: false, error: { kind: 'broken', detail: String(error), sent: true } };
}
