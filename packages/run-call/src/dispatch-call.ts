import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import { createRefusal, renderPeerError } from '@laburnumshift/errors';
import type { CallResponse, PeerError, Refusal, Result } from '@laburnumshift/types';
import { OUTCOMES } from '@laburnumshift/types';
import type { CallState } from './call-state.js';
import { chooseServer } from './choose-server.js';
import { traceCall } from './trace-call.js';

const RETRY_AFTER_MS = 1_000;

/**
 * Sends a call to servers of the pool until one answers. When a server refuses the call because it is leaving, or when no
 * byte reached it, the call is sent to another server. After any other failure only an idempotent call is sent again.
 * Refusals of leaving servers do not use the retry budget.
 *
 * @param lateAnswerMs how long after the deadline the answer to a sent call is still accepted, milliseconds
 * @returns the answer, or the refusal when the call cannot be sent again or no time, attempt or server is left
 */
export async function dispatchCall(
  state: CallState,
  lateAnswerMs: number,
): Promise<Result<CallResponse, Refusal>> {
  const { deps, service, request } = state;
  const idempotent = service.idempotent;
  for (;;) {
    const remainingMs = state.deadlineMs - readMonotonicMs();
    if (remainingMs <= 0) return refuseCall(state, 'deadline_unreachable', 'the deadline cannot be met');
    if (state.signal.aborted) return refuseCall(state, 'backend_failed', 'the caller is gone');
    const server = chooseServer(state);
    if (server === undefined) return refuseCall(state, 'no_backend_server', 'no server can take the call');
    const client = deps.getServiceClient(server.name, server.url);
    state.attempts += 1;
    const pendingAnswer = client.sendCall(request.call, remainingMs + lateAnswerMs, !idempotent);
    const answer = await pendingAnswer.catch(toBrokenAnswer);
    traceCall(state, 'dispatched', {
      server: server.name,
      result: answer.ok ? answer.value.status : renderPeerError(answer.error),
    });
    if (answer.ok) return answer;
    const { error } = answer;
    state.exclude.add(server.name);
    deps.reportServerState(server.name, error.kind === 'leaving' ? 'leaving' : 'failed');
    if (error.kind === 'leaving') continue;
    if (error.sent) state.sent = true;
    if (error.sent && !idempotent) {
      return refuseCall(state, 'outcome_unknown', 'the answer of the server was lost');
    }
    const refusal = await waitForRetry(state);
    if (refusal !== undefined) return refusal;
  }
}

/** Takes one retry from the budget and waits for its backoff; returns the refusal when no retry is allowed. */
async function waitForRetry(state: CallState): Promise<Result<CallResponse, Refusal> | undefined> {
  const { deps, service, request, pool } = state;
  const scope = { service: service.name, account: request.account.name, pool: pool.name };
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
): Result<CallResponse, Refusal> {
  const outcome = state.sent ? OUTCOMES.unknown : OUTCOMES.notRun;
  const retryAfterMs = code === 'outcome_unknown' ? undefined : RETRY_AFTER_MS;
  return { ok: false, error: createRefusal(code, message, outcome, retryAfterMs) };
}

function toBrokenAnswer(error: unknown): Result<CallResponse, PeerError> {
  return { ok: false, error: { kind: 'broken', detail: String(error), sent: true } };
}
