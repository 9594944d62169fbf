import { createHash } from 'node:crypto';

/** Names remembered; an entry takes about 100 bytes. */
const MAX_NAMES = 20_000;
const hashes = new Map<string, number>();

/** Hashes a name to 32 bits. The first hash is SHA-256, so that callers cannot choose colliding names cheaply. */
export function hashName(name: string): number {
  const known = hashes.get(name);
  if (known !== undefined) return known;
  const hash = createHash('sha256').update(name).digest().readUInt32BE(0);
  if (hashes.size >= MAX_NAMES) hashes.clear();
  hashes.set(name, hash);
  return hash;
}
