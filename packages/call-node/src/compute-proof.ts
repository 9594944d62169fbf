import { createHmac } from 'node:crypto';

/**
 * Computes the HMAC-SHA-256 with which one side of a link proves that it knows the secret. The role is part of the input, so
 * that a proof cannot be reflected to its sender.
 */
export function computeProof(secret: string, role: 'client' | 'server', parts: readonly string[]): Buffer {
  return createHmac('sha256', secret)
    .update(JSON.stringify([role, ...parts]))
    .digest();
}
