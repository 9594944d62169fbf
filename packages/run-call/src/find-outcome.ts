import { readWallMs } from '@laburnumshift/clock';
import type { JournalDecision, JournalLook, Refusal, Result } from '@laburnumshift/types';
import type { CallDependencies } from './call-dependencies.js';
import { OUTCOMES } from '@laburnumshift/types';
import { checkKey } from './check-key.js';
import { resolveCall } from './resolve-call.js';

/**
 * Finds the state of a non-idempotent call of the account. The older system is not asked: it does not know accounts, so its
 * answer could belong to another one.
 *
 * The journal's `absent` holds only for keys dated within the retention. Other keys are refused with outcome `unknown`
 * without a search, which would have to cover all records.
 *
 * @param look `issuedAtMs` is the date that the caller gives for a key that carries none
 */
export async function findOutcome(
  look: JournalLook,
  deps: Pick<CallDependencies, 'getConfig' | 'journal' | 'retentionMs'>,
): Promise<Result<JournalDecision, Refusal>> {
  const config = deps.getConfig();
  if (config === undefined) {
    return { ok: true, value: { kind: 'unavailable', detail: 'no configuration yet', seen: true } };
  }
  const resolved = resolveCall(config, look.account, look.service);
  if (!resolved.ok && resolved.error.code !== 'no_backend_server') {
    return { ok: true, value: { kind: 'absent' } };
  }
  const issued = checkKey(look.key, look.issuedAtMs, readWallMs(), deps.retentionMs);
  if (!issued.ok) return { ok: false, error: { ...issued.error, outcome: OUTCOMES.unknown } };
  const value = await deps.journal
    .findCall({ ...look, issuedAtMs: issued.value })
    .catch((error: unknown): JournalDecision => ({ kind: 'unavailable', detail: String(error), seen: true }));
  return { ok: true, value };
}
