import type { JournalDecision, JournalLook } from '@laburnumshift/types';
import type { CallDependencies } from './call-dependencies.js';
import { resolveCall } from './resolve-call.js';

/**
 * Finds the state of a non-idempotent call of the account. The older system is not asked: it does not know accounts, so its
 * answer could belong to another one.
 */
export async function findOutcome(
  look: JournalLook,
  deps: Pick<CallDependencies, 'getConfig' | 'journal'>,
): Promise<JournalDecision> {
  const config = deps.getConfig();
  if (config === undefined) return { kind: 'unavailable', detail: 'no configuration yet', seen: true };
  const resolved = resolveCall(config, look.account, look.service);
  if (!resolved.ok && resolved.error.code !== 'no_backend_server') return { kind: 'absent' };
  return deps.journal
    .findCall(look)
    .catch((error: unknown): JournalDecision => ({ kind: 'unavailable', detail: String(error), seen: true }));
}
