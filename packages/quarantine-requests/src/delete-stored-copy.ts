import type { PlatformClient } from '@laburnumshift/types';

/**
 * Deletes a stored copy from the platform, unless it was written again since the known version. Without a known version the current
 * one is read first.
 */
export async function deleteStoredCopy(
  platform: PlatformClient,
  kind: 'suspect' | 'conviction',
  fingerprint: string,
  knownVersion: number | undefined,
): Promise<void> {
  let version = knownVersion;
  if (version === undefined) {
    const read = await platform.readObject(kind, fingerprint, 'cleanup');
    if (read.kind !== 'found') return;
    version = read.object.version;
  }
  await platform.deleteObject(kind, fingerprint, version, 'cleanup');
}
