import { createHash } from 'node:crypto';
import { readMonotonicMs } from '@laburnumshift/clock';
import { createRefusal } from '@laburnumshift/errors';
import type { JournalAbandon, JournalDecision, Refusal, Result } from '@laburnumshift/types';
import { OUTCOMES } from '@laburnumshift/types';
import { match } from 'ts-pattern';
import type { CallState } from './call-state.js';

const RETRY_AFTER_MS = 1_000;

/**
 * Reserves a key at the older system for one account and service. The older system's keys are not separated by account: it
 * answers a second account that uses the same key with the first one's answer. The reservation is a journal record of its
 * own under a name that no account can have.
 */
export async function claimOlderKey(
  state: CallState,
  attempt: JournalAbandon,
  olderUrl: string,
  issuedAtMs: number,
): Promise<Result<JournalAbandon, Refusal>> {
  const { journal, getSelf } = state.deps;
  const { key, attemptId, account, service } = attempt;
  const claim = { account: `older:${olderUrl}`, service: 'keys', key, attemptId: `${attemptId}.older` };
  const holder = createHash('sha256')
    .update(JSON.stringify([account, service]))
    .digest('hex');
  const self = getSelf();
  const decision = await journal
    .beginCall({
      ...claim,
      bodyHash: holder,
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
  const refuse = (...refusal: Parameters<typeof createRefusal>): Result<JournalAbandon, Refusal> => ({
    ok: false,
    error: createRefusal(...refusal),
  });
  return match(decision)
    .with({ kind: 'run' }, () => ({ ok: true as const, value: claim }))
    .with({ kind: 'body-differs' }, () =>
      refuse('idempotency_key_reused', 'the key is in use at the older system', OUTCOMES.notRun),
    )
    .with({ kind: 'unavailable' }, { kind: 'absent' }, () =>
      refuse('platform_unavailable', 'the journal cannot be written', OUTCOMES.notRun, RETRY_AFTER_MS),
    )
    .otherwise(() => {
      // The account's own earlier use of the key: it may have run.
      state.sent = true;
      return refuse('outcome_unknown', 'the older system may have run the call', OUTCOMES.unknown);
    });
}
