import { createHash } from 'node:crypto';

/** Computes the checksum of a piece body: SHA-256, hexadecimal. */
export function computeChecksum(body: Buffer): string {
  return createHash('sha256').update(body).digest('hex');
}
