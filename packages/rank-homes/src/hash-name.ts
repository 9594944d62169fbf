import { createHash } from 'node:crypto';

/** Maximum number of cached hashes; an entry takes about 100 bytes. The cache is cleared when it is full. */
const MAX_CACHED_NAMES = 20_000;
const cachedHashes = new Map<string, number>();

/** Returns the first 32 bits of the SHA-256 of a name. A cryptographic hash keeps callers from finding colliding names cheaply. */
export function hashName(name: string): number {
  const cachedHash = cachedHashes.get(name);
  if (cachedHash !== undefined) return cachedHash;
  const hash = createHash('sha256').update(name).digest().readUInt32BE(0);
  if (cachedHashes.size >= MAX_CACHED_NAMES) cachedHashes.clear();
  cachedHashes.set(name, hash);
  return hash;
}
