import { createHash } from 'node:crypto';
import type { JournalLook } from '@laburnumshift/types';

/** Hashes account, service and key, so that no account can reach another's records. */
export function computeCallId(call: JournalLook): string {
  return createHash('sha256')
    .update(JSON.stringify([call.account, call.service, call.key]))
    .digest('base64url')
    .slice(0, 27);
}
