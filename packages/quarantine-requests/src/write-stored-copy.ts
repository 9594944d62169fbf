import { randomUUID } from 'node:crypto';
import type { PlatformClient } from '@laburnumshift/types';

/**
 * Writes a stored copy to the platform and replaces an existing one, in at most two attempts.
 *
 * @returns the version written, or `undefined` when the platform did not accept the write
 */
export async function writeStoredCopy(
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
