import { createHmac } from 'node:crypto';

/**
 * Computes the proof of one side of a link. The role is part of the input, so that a proof cannot be reflected to its
 * sender.
 */
export function computeProof(secret: string, role: 'client' | 'server', parts: readonly string[]): Buffer {
  return createHmac('sha256', secret)
    .update(JSON.stringify([role, ...parts]))
    .digest();
}
