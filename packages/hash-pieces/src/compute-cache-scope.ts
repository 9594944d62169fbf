import { createHash } from 'node:crypto';

/**
 * Computes the scope of cache pieces, a hash of the account, model, adapter and weight version. A piece is identified by its
 * scope and chain value, so pieces of another account or weight version never match.
 *
 * @returns 32 hexadecimal digits
 */
export function computeCacheScope(
  account: string,
  model: string,
  adapter: string | undefined,
  weightVersion: string,
): string {
  const parts = JSON.stringify([account, model, adapter ?? null, weightVersion]);
  return createHash('sha256').update(parts).digest('hex').slice(0, 32);
}
