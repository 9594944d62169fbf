import { timingSafeEqual } from 'node:crypto';

/** Compares a received proof with the expected one in constant time. */
export function verifyProof(received: Buffer, expected: Buffer): boolean {
  return received.length === expected.length && timingSafeEqual(received, expected);
}
