import { createHash } from 'node:crypto';
import type { ServingSystem } from '@laburnumshift/types';

/** Number of values of the hash, which is 6 bytes long. */
const HASH_RANGE = 2 ** 48;

/**
 * Chooses the system that serves a conversation by a hash of the account and the conversation, which is the same on all nodes and
 * in all releases. A higher share moves conversations to the older system only, a lower share away from it only.
 *
 * @param share share of the conversations that the older system serves, 0 to 1
 */
export function chooseSystem(account: string, conversation: string, share: number): ServingSystem {
  const hash = createHash('sha256')
    .update(JSON.stringify([account, conversation]))
    .digest()
    .readUIntBE(0, 6);
  return hash / HASH_RANGE < share ? 'older' : 'own';
}
