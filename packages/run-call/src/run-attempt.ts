import { readMonotonicMs, waitWithTimeout } from '@laburnumshift/clock';
import { createRefusal } from '@laburnumshift/errors';
import type {
  CallResponse,
  JournalAttempt,
  OlderSystemClient,
  Refusal,
  Result,
  ServingSystem,
} from '@laburnumshift/types';
import { OUTCOMES } from '@laburnumshift/types';
import type { CallState } from './call-state.js';
import { reserveOlderSystemKey } from './reserve-older-system-key.js';
import { dispatchCall } from './dispatch-call.js';
import { dispatchToOlderSystem } from './dispatch-to-older-system.js';
import { traceCall } from './trace-call.js';

/** An answer that arrives up to this long after the deadline is still recorded. */
const MAX_LATE_ANSWER_MS = 10_000;
/** The caller waits up to this long for the record: about three writes of a busy journal shard, which are 80 ms apart. */
const RECORD_TIMEOUT_MS = 250;
const RETRY_AFTER_MS = 1_000;

/** Finishes the reservation of a key at the older system; the answer itself is recorded with the call. */
const EMPTY_ANSWER: CallResponse = { status: 200, headers: {}, body: '' };

/**
 * Dispatches an attempt that the journal permitted and records how it ended: finished with its answer, abandoned when no
 * byte was sent, or unknown when the answer was lost.
 *
 * @param system the system that the journal recorded for the key
 * @param issuedAtMs time of issue of the key, milliseconds since the epoch
 */
export async function runAttempt(
  state: CallState,
  attempt: JournalAttempt,
  system: ServingSystem,
  issuedAtMs: number,
): Promise<Result<CallResponse, Refusal>> {
  const { journal } = state.deps;
  const reservations: JournalAttempt[] = [];
  const result = await dispatchAttempt(state, attempt, system, issuedAtMs, reservations);
  const pendingRecords: Promise<boolean>[] = [];
  if (result.ok) {
    pendingRecords.push(journal.finishCall({ ...attempt, answer: result.value }));
    pendingRecords.push(
      ...reservations.map((reservation) => journal.finishCall({ ...reservation, answer: EMPTY_ANSWER })),
    );
  } else {
    const writeEnd = state.sent ? journal.markUnknown : journal.abandonCall;
    pendingRecords.push(...[...reservations, attempt].map((record) => writeEnd(record)));
  }
  // The journal retries an unconfirmed record in the background, so that the caller does not wait for a platform that is
  // down.
  const all = Promise.all(pendingRecords.map((recording) => recording.catch(() => false)));
  const recorded = await waitWithTimeout(all, RECORD_TIMEOUT_MS);
  if (recorded?.every(Boolean) !== true) traceCall(state, 'answered before its record', { recorded });
  return result;
}

/**
 * Sends the attempt to its system. During a cutover, a key that the older system has already taken is refused, and a key
 * that is to run there is first reserved for the account; the reservation is added to `reservations`.
 */
async function dispatchAttempt(
  state: CallState,
  attempt: JournalAttempt,
  system: ServingSystem,
  issuedAtMs: number,
  reservations: JournalAttempt[],
): Promise<Result<CallResponse, Refusal>> {
  const { older, service } = state;
  if (older === undefined || service.cutover === undefined) {
    return system === 'own'
      ? dispatchCall(state, MAX_LATE_ANSWER_MS)
      : refuseAsNotRun('the key belongs to the older system, which is not configured');
  }
  if (system === 'older') {
    const reservation = await reserveOlderSystemKey(state, attempt, service.cutover.olderUrl, issuedAtMs);
    if (!reservation.ok) return reservation;
    reservations.push(reservation.value);
  }
  const refusal = await checkOlderSystemKey(state, older, attempt.key);
  if (refusal !== undefined) return refusal;
  return system === 'older'
    ? dispatchToOlderSystem(state, older, MAX_LATE_ANSWER_MS)
    : dispatchCall(state, MAX_LATE_ANSWER_MS);
}

/** Refuses a key that the older system has already taken, for example before the cutover or from another account. */
async function checkOlderSystemKey(
  state: CallState,
  older: OlderSystemClient,
  key: string,
): Promise<Result<CallResponse, Refusal> | undefined> {
  const remainingMs = Math.max(1, state.deadlineMs - readMonotonicMs());
  const found = await waitWithTimeout(
    older.findOutcome(key).catch(() => undefined),
    remainingMs,
  );
  if (found?.ok !== true) return refuseAsNotRun('the older system does not say whether it took this key');
  if (found.value === undefined) return undefined;
  // The older system does not say which account used the key, so its answer may belong to another one. The record of the
  // key becomes `unknown`.
  state.sent = true;
  const message = 'the older system took this key; ask it';
  return { ok: false, error: createRefusal('outcome_unknown', message, OUTCOMES.unknown) };
}

function refuseAsNotRun(message: string): Result<CallResponse, Refusal> {
  return {
    ok: false,
    error: createRefusal('no_backend_server', message, OUTCOMES.notRun, RETRY_AFTER_MS),
  };
}
