import { createHash } from 'node:crypto';
import type { ForwardCall } from '@laburnumshift/forward-types';

/** Length of a request fingerprint, base64url characters of six bits. */
const FINGERPRINT_LENGTH = 16;

/**
 * Lists what a call may have in common with other calls that crash a server: the pieces of its prompt, or the whole request when it has
 * no prompt. The last piece stands for the request itself.
 *
 * @param account name of the client account; `undefined` without one
 */
export function listCallTraits(
  { prompt, method, target }: Pick<ForwardCall, 'prompt' | 'method' | 'target'>,
  account: string | undefined,
  body: Buffer,
): readonly string[] {
  if (prompt !== undefined && prompt.pieces.length > 0)
    return [...new Set(prompt.pieces.map(({ id }) => `${prompt.model}/${id}`))];
  const hash = createHash('sha256')
    .update(JSON.stringify([account, method, target]))
    .update(body);
  return [`request/${hash.digest('base64url').slice(0, FINGERPRINT_LENGTH)}`];
}
