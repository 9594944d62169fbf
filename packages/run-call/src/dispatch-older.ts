import { readMonotonicMs } from '@laburnumshift/clock';
import { createRefusal, renderPeerError } from '@laburnumshift/errors';
import type { CallAnswer, CallRequest, OlderSystemClient, Refusal, Result } from '@laburnumshift/types';
import { OUTCOMES } from '@laburnumshift/types';
import type { CallState } from './call-state.js';
import { traceCall } from './trace-call.js';

const RETRY_AFTER_MS = 1_000;

/** Sends a call to the older system, once. */
export async function dispatchOlder(
  state: CallState,
  older: OlderSystemClient,
  lateMs: number,
): Promise<Result<CallAnswer, Refusal>> {
  const remainingMs = state.deadlineMs - readMonotonicMs();
  const refuse = (...refusal: Parameters<typeof createRefusal>): Result<CallAnswer, Refusal> => ({
    ok: false,
    error: createRefusal(...refusal),
  });
  if (remainingMs <= 0 || state.signal.aborted) {
    return refuse('deadline_unreachable', 'no time is left', OUTCOMES.notRun, RETRY_AFTER_MS);
  }
  const answer = await older.sendCall(buildRequest(state), remainingMs + lateMs).catch((error: unknown) => ({
    ok: false as const,
    error: { kind: 'broken' as const, detail: String(error), sent: true as const },
  }));
  traceCall(state, 'sent to the older system', {
    result: answer.ok ? answer.value.status : renderPeerError(answer.error),
  });
  if (answer.ok) return answer;
  const taken = answer.error.sent && answer.error.kind !== 'leaving';
  if (taken) state.sent = true;
  return taken && !state.service.idempotent
    ? refuse('outcome_unknown', 'the answer of the older system was lost', OUTCOMES.unknown)
    : refuse(
        'backend_failed',
        'the older system failed',
        taken ? OUTCOMES.unknown : OUTCOMES.notRun,
        RETRY_AFTER_MS,
      );
}

/**
 * An idempotent call is sent without its key: nothing reserves that key, and the older system would answer two accounts
 * that use the same one with one answer.
 */
function buildRequest({ job, service }: CallState): CallRequest {
  if (!service.idempotent) return job.call;
  const headers = Object.entries(job.call.headers).filter(([name]) => name !== 'idempotency-key');
  return { ...job.call, headers: Object.fromEntries(headers) };
}
