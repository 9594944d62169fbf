import { createHash } from 'node:crypto';

/**
 * Computes the fingerprint by which the quarantine recognises a request: a SHA-256 hash of account, service and prompt,
 * shortened to 32 hexadecimal digits.
 */
export function computeRequestFingerprint(account: string, service: string, prompt: string): string {
  return createHash('sha256')
    .update(JSON.stringify([account, service]))
    .update(prompt)
    .digest('hex')
    .slice(0, 32);
}
