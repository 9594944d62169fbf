import { randomUUID } from 'node:crypto';
import type { PlatformClient } from '@laburnumshift/types';

/**
 * Writes a lasting copy, over an older one if there is one.
 *
 * @returns the version written, or `undefined` when the platform did not take it
 */
export async function writeLasting(
  platform: PlatformClient,
  kind: 'suspect' | 'conviction',
  fingerprint: string,
  value: unknown,
): Promise<number | undefined> {
  let ifVersion = 0;
  for (let tries = 0; tries < 2; tries += 1) {
    const written = await platform.writeObject(kind, fingerprint, value, ifVersion, randomUUID(), 'status');
    if (written.kind === 'written') return written.version;
    if (written.kind !== 'conflict') return undefined;
    ifVersion = written.version;
  }
  return undefined;
}
