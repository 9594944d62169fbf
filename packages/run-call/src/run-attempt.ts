import { readMonotonicMs, waitWithTimeout } from '@laburnumshift/clock';
import { createRefusal } from '@laburnumshift/errors';
import type {
  CallAnswer,
  JournalAbandon,
  OlderSystemClient,
  Refusal,
  Result,
  System,
} from '@laburnumshift/types';
import { OUTCOMES } from '@laburnumshift/types';
import type { CallState } from './call-state.js';
import { claimOlderKey } from './claim-older-key.js';
import { dispatchCall } from './dispatch-call.js';
import { dispatchOlder } from './dispatch-older.js';
import { traceCall } from './trace-call.js';

/** An answer may arrive this long after the deadline and is still recorded. */
const LATE_ANSWER_MS = 10_000;
/** The caller waits this long for the record; about three writes of a busy shard, which are 80 ms apart. */
const RECORD_WAIT_MS = 250;
const RETRY_AFTER_MS = 1_000;

/** The older system's answer is kept with the call; its reservation of the key needs none. */
const NO_ANSWER: CallAnswer = { status: 200, headers: {}, body: '' };

/** Dispatches the permitted attempt and settles its record: finished, abandoned, or unknown when the answer was lost. */
export async function runAttempt(
  state: CallState,
  attempt: JournalAbandon,
  system: System,
  issuedAtMs: number,
): Promise<Result<CallAnswer, Refusal>> {
  const { journal } = state.deps;
  const claims: JournalAbandon[] = [];
  const result = await dispatchTo(state, attempt, system, issuedAtMs, claims);
  const recordings: Promise<boolean>[] = [];
  if (result.ok) {
    recordings.push(journal.finishCall({ ...attempt, answer: result.value }));
    recordings.push(...claims.map((claim) => journal.finishCall({ ...claim, answer: NO_ANSWER })));
  } else {
    const recordEnd = state.sent ? journal.markUnknown : journal.abandonCall;
    recordings.push(...[...claims, attempt].map((record) => recordEnd(record)));
  }
  // A record that is not confirmed is tried again in the background; the caller does not wait for a platform that is down.
  const all = Promise.all(recordings.map((recording) => recording.catch(() => false)));
  const recorded = await waitWithTimeout(all, RECORD_WAIT_MS);
  if (recorded?.every(Boolean) !== true) traceCall(state, 'answered before its record', { recorded });
  return result;
}

async function dispatchTo(
  state: CallState,
  attempt: JournalAbandon,
  system: System,
  issuedAtMs: number,
  claims: JournalAbandon[],
): Promise<Result<CallAnswer, Refusal>> {
  const { older, service } = state;
  if (older === undefined || service.cutover === undefined) {
    return system === 'own'
      ? dispatchCall(state, LATE_ANSWER_MS)
      : refuseUnsent('the key belongs to the older system, which is not configured');
  }
  if (system === 'older') {
    const claim = await claimOlderKey(state, attempt, service.cutover.olderUrl, issuedAtMs);
    if (!claim.ok) return claim;
    claims.push(claim.value);
  }
  const refusal = await checkOlderKey(state, older, attempt.key);
  if (refusal !== undefined) return refusal;
  return system === 'older'
    ? dispatchOlder(state, older, LATE_ANSWER_MS)
    : dispatchCall(state, LATE_ANSWER_MS);
}

/** Refuses a key that was sent to the older system directly, before the cutover or by another account. */
async function checkOlderKey(
  state: CallState,
  older: OlderSystemClient,
  key: string,
): Promise<Result<CallAnswer, Refusal> | undefined> {
  const remainingMs = Math.max(1, state.deadlineMs - readMonotonicMs());
  const found = await waitWithTimeout(
    older.findOutcome(key).catch(() => undefined),
    remainingMs,
  );
  if (found?.ok !== true) return refuseUnsent('the older system does not say whether it took this key');
  if (found.value === undefined) return undefined;
  // The older system does not say whose key it was, so its answer may belong to another account. The key stays taken.
  state.sent = true;
  const message = 'the older system took this key; ask it';
  return { ok: false, error: createRefusal('outcome_unknown', message, OUTCOMES.unknown) };
}

function refuseUnsent(message: string): Result<CallAnswer, Refusal> {
  return {
    ok: false,
    error: createRefusal('no_backend_server', message, OUTCOMES.notRun, RETRY_AFTER_MS),
  };
}
