import { createHash } from 'node:crypto';
import type { System } from '@laburnumshift/types';

const HASH_RANGE = 2 ** 48;

/**
 * Chooses the system for a conversation by a stable hash. A higher share moves conversations only to the older system,
 * a lower one only away from it.
 *
 * @param share part that stays with the older system, 0 to 1
 */
export function chooseSystem(account: string, conversation: string, share: number): System {
  const hash = createHash('sha256')
    .update(JSON.stringify([account, conversation]))
    .digest()
    .readUIntBE(0, 6);
  return hash / HASH_RANGE < share ? 'older' : 'own';
}
