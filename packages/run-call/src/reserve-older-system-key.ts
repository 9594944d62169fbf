import { createHash } from 'node:crypto';
import { readMonotonicMs } from '@laburnumshift/clock';
import { createRefusal } from '@laburnumshift/errors';
import type { JournalAttempt, JournalDecision, Refusal, Result } from '@laburnumshift/types';
import { OUTCOMES } from '@laburnumshift/types';
import { match } from 'ts-pattern';
import type { CallState } from './call-state.js';

const RETRY_AFTER_MS = 1_000;

/**
 * Reserves an idempotency key of the older system for one account and service. The older system does not separate keys by
 * account: a second account that sends the same key would get the answer of the first. The reservation is a separate
 * journal record under a name that no account can have.
 *
 * @param attempt the attempt that is to be sent to the older system
 * @param issuedAtMs time of issue of the key, milliseconds since the epoch
 * @returns the reservation, to be finished or abandoned with the attempt, or the refusal of the call
 */
export async function reserveOlderSystemKey(
  state: CallState,
  attempt: JournalAttempt,
  olderUrl: string,
  issuedAtMs: number,
): Promise<Result<JournalAttempt, Refusal>> {
  const { journal, getSelf } = state.deps;
  const { key, attemptId, account, service } = attempt;
  const reservation = { account: `older:${olderUrl}`, service: 'keys', key, attemptId: `${attemptId}.older` };
  const ownerHash = createHash('sha256')
    .update(JSON.stringify([account, service]))
    .digest('hex');
  const self = getSelf();
  const decision = await journal
    .beginCall({
      ...reservation,
      bodyHash: ownerHash,
      node: self.host,
      incarnation: self.incarnation,
      system: 'older',
      issuedAtMs,
      waitMs: Math.max(0, state.deadlineMs - readMonotonicMs()),
    })
    .catch((error: unknown): JournalDecision => ({
      kind: 'unavailable',
      detail: String(error),
      seen: true,
    }));
  const refuse = (...refusal: Parameters<typeof createRefusal>): Result<JournalAttempt, Refusal> => ({
    ok: false,
    error: createRefusal(...refusal),
  });
  return match(decision)
    .with({ kind: 'run' }, () => ({ ok: true as const, value: reservation }))
    .with({ kind: 'body-differs' }, () =>
      refuse('idempotency_key_reused', 'the key is in use at the older system', OUTCOMES.notRun),
    )
    .with({ kind: 'unavailable' }, { kind: 'absent' }, () =>
      refuse('platform_unavailable', 'the journal cannot be written', OUTCOMES.notRun, RETRY_AFTER_MS),
    )
    .otherwise(() => {
      // The same account and service reserved the key earlier, so the call may have run.
      state.sent = true;
      return refuse('outcome_unknown', 'the older system may have run the call', OUTCOMES.unknown);
    });
}
