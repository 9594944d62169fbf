import { readWallMs } from '@laburnumshift/clock';
import type { JournalDecision, JournalLookup, Refusal, Result } from '@laburnumshift/types';
import type { CallDependencies } from './call-dependencies.js';
import { OUTCOMES } from '@laburnumshift/types';
import { resolveRoute } from '@laburnumshift/resolve-route';
import { checkIdempotencyKey } from './check-idempotency-key.js';

/**
 * Finds the state of a non-idempotent call of the account in the journal. The older system is not asked, because it does
 * not separate keys by account and its answer could belong to another account.
 *
 * `absent` is reliable only for keys that were issued within the retention. Any other key is refused with the outcome
 * `unknown` without a search, because the search would have to cover all records.
 *
 * @param look `issuedAtMs` is the time of issue that the caller states for a key without a timestamp of its own
 * @returns the state; `absent` when no such service is routed for the account, `unavailable` when there is no
 *   configuration or the journal failed
 */
export async function findOutcome(
  look: JournalLookup,
  deps: Pick<CallDependencies, 'getConfig' | 'journal' | 'retentionMs'>,
): Promise<Result<JournalDecision, Refusal>> {
  const config = deps.getConfig();
  if (config === undefined) {
    return { ok: true, value: { kind: 'unavailable', detail: 'no configuration yet', seen: true } };
  }
  const resolved = resolveRoute(config, look.account, look.service, 'plain');
  if (!resolved.ok && resolved.error.code !== 'no_backend_server') {
    return { ok: true, value: { kind: 'absent' } };
  }
  const issued = checkIdempotencyKey(look.key, look.issuedAtMs, readWallMs(), deps.retentionMs);
  if (!issued.ok) return { ok: false, error: { ...issued.error, outcome: OUTCOMES.unknown } };
  const value = await deps.journal
    .findCall({ ...look, issuedAtMs: issued.value })
    .catch((error: unknown): JournalDecision => ({ kind: 'unavailable', detail: String(error), seen: true }));
  return { ok: true, value };
}
