import type { PlatformClient } from '@laburnumshift/types';

/** Deletes a lasting copy, unless it was written anew since the known version. */
export async function deleteLasting(
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
