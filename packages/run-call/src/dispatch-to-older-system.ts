import { readMonotonicMs } from '@laburnumshift/clock';
import { createRefusal, renderPeerError } from '@laburnumshift/errors';
import type { CallResponse, CallRequest, OlderSystemClient, Refusal, Result } from '@laburnumshift/types';
import { OUTCOMES } from '@laburnumshift/types';
import type { CallState } from './call-state.js';
import { traceCall } from './trace-call.js';

const RETRY_AFTER_MS = 1_000;

/**
 * Sends a call to the older system. The call is never sent again.
 *
 * @param lateAnswerMs how long after the deadline the answer is still accepted, milliseconds
 */
export async function dispatchToOlderSystem(
  state: CallState,
  older: OlderSystemClient,
  lateAnswerMs: number,
): Promise<Result<CallResponse, Refusal>> {
  const remainingMs = state.deadlineMs - readMonotonicMs();
  const refuse = (...refusal: Parameters<typeof createRefusal>): Result<CallResponse, Refusal> => ({
    ok: false,
    error: createRefusal(...refusal),
  });
  if (remainingMs <= 0 || state.signal.aborted) {
    return refuse('deadline_unreachable', 'no time is left', OUTCOMES.notRun, RETRY_AFTER_MS);
  }
  const answer = await older
    .sendCall(buildOlderSystemRequest(state), remainingMs + lateAnswerMs)
    .catch((error: unknown) => ({
      ok: false as const,
      error: { kind: 'broken' as const, detail: String(error), sent: true as const },
    }));
  traceCall(state, 'sent to the older system', {
    result: answer.ok ? answer.value.status : renderPeerError(answer.error),
  });
  if (answer.ok) return answer;
  const mayHaveRun = answer.error.sent && answer.error.kind !== 'leaving';
  if (mayHaveRun) state.sent = true;
  return mayHaveRun && !state.service.idempotent
    ? refuse('outcome_unknown', 'the answer of the older system was lost', OUTCOMES.unknown)
    : refuse(
        'backend_failed',
        'the older system failed',
        mayHaveRun ? OUTCOMES.unknown : OUTCOMES.notRun,
        RETRY_AFTER_MS,
      );
}

/**
 * Removes the idempotency key from an idempotent call. Such a key is not reserved for the account, and the older system
 * would give two accounts that use the same key the same answer.
 */
function buildOlderSystemRequest({ request, service }: CallState): CallRequest {
  if (!service.idempotent) return request.call;
  const headers = Object.entries(request.call.headers).filter(([name]) => name !== 'idempotency-key');
  return { ...request.call, headers: Object.fromEntries(headers) };
}
