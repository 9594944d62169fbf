import { createHash } from 'node:crypto';

/** Computes the identity under which a request is a suspect: account, service and content, 32 hexadecimal digits. */
export function computeFingerprint(account: string, service: string, prompt: string): string {
  return createHash('sha256')
    .update(JSON.stringify([account, service]))
    .update(prompt)
    .digest('hex')
    .slice(0, 32);
}
