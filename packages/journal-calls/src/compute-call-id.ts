import { createHash } from 'node:crypto';
import type { JournalLookup } from '@laburnumshift/types';

/**
 * Computes a 27-character id from account, service and key. The account is hashed so that no account can access
 * another's records.
 */
export function computeCallId(call: JournalLookup): string {
  return createHash('sha256')
    .update(JSON.stringify([call.account, call.service, call.key]))
    .digest('base64url')
    .slice(0, 27);
}
