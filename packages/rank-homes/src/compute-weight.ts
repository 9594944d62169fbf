import { createHash } from 'node:crypto';

/** Hashes a key with a member name to a weight from 0 to 2^48 - 1. */
export function computeWeight(key: string, name: string): number {
  return createHash('sha256').update(key).update('\0').update(name).digest().readUIntBE(0, 6);
}
