import { readMonotonicMs, waitAtMost } from '@laburnumshift/clock';
import { createRefusal } from '@laburnumshift/errors';
import type { CallAnswer, JournalAbandon, Refusal, Result, System } from '@laburnumshift/types';
import { OUTCOMES } from '@laburnumshift/types';
import type { CallState } from './call-state.js';
import { dispatchCall } from './dispatch-call.js';
import { dispatchOlder } from './dispatch-older.js';
import { traceCall } from './trace-call.js';

/** An answer may arrive this long after the deadline and is still recorded. */
const LATE_ANSWER_MS = 10_000;
/** The caller waits this long for the record; about three writes of a busy shard, which are 80 ms apart. */
const RECORD_WAIT_MS = 250;
const RETRY_AFTER_MS = 1_000;

/** Dispatches the permitted attempt and settles its record: finished, abandoned, or unknown when the answer was lost. */
export async function runAttempt(
  state: CallState,
  attempt: JournalAbandon,
  system: System,
): Promise<Result<CallAnswer, Refusal>> {
  const { journal } = state.deps;
  const result = await dispatchTo(state, attempt, system);
  if (result.ok) {
    const recording = journal.finishCall({ ...attempt, answer: result.value }).catch(() => false);
    const recorded = await waitAtMost(recording, RECORD_WAIT_MS);
    if (recorded !== true) traceCall(state, 'answer sent before its record', { recorded });
    return result;
  }
  // The record is tried again in the background; the refusal is final and does not wait for a platform that is down.
  const settling = state.sent ? journal.markUnknown(attempt) : journal.abandonCall(attempt);
  await waitAtMost(
    settling.catch(() => false),
    RECORD_WAIT_MS,
  );
  return result;
}

async function dispatchTo(
  state: CallState,
  attempt: JournalAbandon,
  system: System,
): Promise<Result<CallAnswer, Refusal>> {
  const { older } = state;
  const refuse = (message: string): Result<CallAnswer, Refusal> => ({
    ok: false,
    error: createRefusal('no_backend_server', message, OUTCOMES.notRun, RETRY_AFTER_MS),
  });
  if (system === 'older') {
    if (older === undefined) return refuse('the key belongs to the older system, which is not configured');
    return dispatchOlder(state, older, LATE_ANSWER_MS);
  }
  if (older !== undefined) {
    // The caller may have sent this key to the older system before the cutover.
    const remainingMs = Math.max(1, state.deadlineMs - readMonotonicMs());
    const found = await waitAtMost(
      older.findOutcome(attempt.key).catch(() => undefined),
      remainingMs,
    );
    if (found?.ok !== true) return refuse('the older system does not say whether it took this key');
    if (found.value !== undefined) {
      // The older system does not say whose key it was, so its answer may belong to another account. The key stays taken.
      state.sent = true;
      return {
        ok: false,
        error: createRefusal('outcome_unknown', 'the older system took this key; ask it', OUTCOMES.unknown),
      };
    }
  }
  return dispatchCall(state, LATE_ANSWER_MS);
}
