import { createHash } from 'node:crypto';
import type { ForwardCall } from '@laburnumshift/forward-types';
import type { CallTrait } from './call-trait.js';

/** Length of a request fingerprint, base64url characters of six bits. */
const FINGERPRINT_LENGTH = 16;

/**
 * Lists what a call may have in common with other calls that crash a server: the pieces of its prompt, or the whole request when it has
 * no prompt.
 *
 * @param account name of the client account; `undefined` without one
 */
export function listCallTraits(
  { prompt, method, target }: Pick<ForwardCall, 'prompt' | 'method' | 'target'>,
  account: string | undefined,
  body: Buffer,
): readonly CallTrait[] {
  if (prompt !== undefined && prompt.pieces.length > 0) {
    const last = prompt.pieces.length - 1;
    return prompt.pieces.map(({ id }, index) => ({
      trait: `${prompt.model}/${id}`,
      position: index === last ? -1 : index,
    }));
  }
  const hash = createHash('sha256')
    .update(JSON.stringify([account, method, target]))
    .update(body);
  return [{ trait: `request/${hash.digest('base64url').slice(0, FINGERPRINT_LENGTH)}`, position: -1 }];
}
