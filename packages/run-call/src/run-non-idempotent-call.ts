import { createHash, randomUUID } from 'node:crypto';
import { readMonotonicMs, readWallMs, waitWithTimeout } from '@laburnumshift/clock';
import { createRefusal } from '@laburnumshift/errors';
import type { CallResponse, JournalAttempt, JournalDecision, Refusal, Result } from '@laburnumshift/types';
import { OUTCOMES } from '@laburnumshift/types';
import { match } from 'ts-pattern';
import type { CallState } from './call-state.js';
import { checkIdempotencyKey } from './check-idempotency-key.js';
import { runAttempt } from './run-attempt.js';
import { traceCall } from './trace-call.js';

/**
 * A key that is younger than this and that no node remembers counts as submitted for the first time. Callers create a key
 * when they first send it, so an older key has probably been sent before, perhaps through nodes that have died since.
 */
const MAX_FIRST_SEND_AGE_MS = 30_000;
const PLATFORM_RETRY_AFTER_MS = 1_000;
/** Time after which the caller may resend a call that its server is still working on. */
const IN_PROGRESS_RETRY_AFTER_MS = 1_000;

/**
 * Runs a non-idempotent call under its idempotency key. The journal permits at most one attempt per key, over all nodes
 * and both systems; a resend gets the recorded answer or a refusal that says what is known.
 */
export async function runNonIdempotentCall(state: CallState): Promise<Result<CallResponse, Refusal>> {
  const { request, deps, service } = state;
  const key = request.idempotencyKey;
  const issued = checkIdempotencyKey(key, request.issuedAtMs, readWallMs(), deps.retentionMs);
  if (!issued.ok || key === undefined)
    return issued.ok ? refuse('internal', 'no key', OUTCOMES.notRun) : issued;
  const attempt = { account: request.account.name, service: service.name, key, attemptId: randomUUID() };
  const self = deps.getSelf();
  const decision = await deps.journal
    .beginCall({
      ...attempt,
      bodyHash: hashCall(state),
      node: self.host,
      incarnation: self.incarnation,
      system: state.system,
      issuedAtMs: issued.value,
      waitMs: Math.max(0, state.deadlineMs - readMonotonicMs()),
    })
    .catch((error: unknown): JournalDecision => ({ kind: 'unavailable', detail: String(error), seen: true }));
  traceCall(state, 'journal', { kind: decision.kind, attemptId: attempt.attemptId });
  return match(decision)
    .with({ kind: 'run' }, (run) => waitForAttempt(state, attempt, run, issued.value))
    .with({ kind: 'finished' }, ({ answer }) => ({ ok: true as const, value: answer }))
    .with({ kind: 'in-progress' }, ({ retryAfterMs }) =>
      refuse('in_progress', 'the call is in progress', OUTCOMES.unknown, retryAfterMs),
    )
    .with({ kind: 'unknown' }, () =>
      refuse('outcome_unknown', 'the call may have run; it is not repeated', OUTCOMES.unknown),
    )
    .with({ kind: 'body-differs' }, () =>
      refuse('idempotency_key_reused', 'the key was used for another call', OUTCOMES.notRun),
    )
    .with({ kind: 'expired' }, () =>
      refuse('idempotency_key_expired', 'the key is older than the records that are kept', OUTCOMES.unknown),
    )
    .with({ kind: 'unavailable' }, ({ seen }) =>
      refuseJournalUnavailable(!seen && isLikelyFirstSubmission(issued.value)),
    )
    .with({ kind: 'absent' }, () => refuseJournalUnavailable(false))
    .exhaustive();
}

/** Waits for the attempt until the deadline. A later answer is still recorded, so that a resend gets it. */
async function waitForAttempt(
  state: CallState,
  attempt: JournalAttempt,
  run: Extract<JournalDecision, { kind: 'run' }>,
  issuedAtMs: number,
): Promise<Result<CallResponse, Refusal>> {
  if (run.attemptId !== attempt.attemptId) {
    return refuse(
      'in_progress',
      'another attempt was permitted',
      OUTCOMES.unknown,
      IN_PROGRESS_RETRY_AFTER_MS,
    );
  }
  const running = runAttempt(state, attempt, run.system, issuedAtMs);
  const remainingMs = Math.max(1, state.deadlineMs - readMonotonicMs());
  return (
    (await waitWithTimeout(running, remainingMs)) ??
    refuse(
      'in_progress',
      'the server is still working on the call',
      OUTCOMES.unknown,
      IN_PROGRESS_RETRY_AFTER_MS,
    )
  );
}

/** Refuses a submission that was not dispatched. Only a first submission proves that the key did not run earlier. */
function refuseJournalUnavailable(isFirstSubmission: boolean): Result<CallResponse, Refusal> {
  const outcome = isFirstSubmission ? OUTCOMES.notRun : OUTCOMES.unknown;
  return refuse('platform_unavailable', 'the journal cannot be written', outcome, PLATFORM_RETRY_AFTER_MS);
}

function isLikelyFirstSubmission(issuedAtMs: number): boolean {
  return readWallMs() - issuedAtMs < MAX_FIRST_SEND_AGE_MS;
}

function refuse(...refusal: Parameters<typeof createRefusal>): Result<CallResponse, Refusal> {
  return { ok: false, error: createRefusal(...refusal) };
}

function hashCall({ request }: CallState): string {
  const { method, path, body } = request.call;
  return createHash('sha256')
    .update(JSON.stringify([method, path, body]))
    .digest('hex');
}
