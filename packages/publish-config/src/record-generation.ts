import { hasAuditRecord, writeAuditRecord } from '@laburnumshift/audit-changes';
import type { ConfigHead, PlatformClient } from '@laburnumshift/types';
import { compareFiles } from './compare-files.js';
import { CONFIG_KINDS } from './config-kinds.js';
import { formatGeneration } from './format-generation.js';
import type { PlatformFailure } from './platform-failure.js';
import { readGeneration } from './read-generation.js';

/**
 * Stores a head in the history before it is replaced. Also writes its audit record if the publisher of that head
 * stopped after the update of the head and before it wrote the record.
 */
export async function recordGeneration(
  platform: PlatformClient,
  head: ConfigHead,
): Promise<PlatformFailure | undefined> {
  if (head.generation === 0) return undefined;
  const name = formatGeneration(head.generation);
  const stored = await platform.writeObject(CONFIG_KINDS.history, name, head, 0, head.changeId, 'config');
  if (stored.kind !== 'written' && stored.kind !== 'conflict') {
    return {
      kind: 'unavailable',
      detail: `cannot keep generation ${String(head.generation)}: ${stored.kind}`,
    };
  }
  if ((await hasAuditRecord(platform, head.publishedAtMs, head.changeId)) !== false) return undefined;
  const before = await readGeneration(platform, head.generation - 1);
  await writeAuditRecord(platform, {
    changeId: head.changeId,
    atMs: head.publishedAtMs,
    author: head.author,
    action: 'publish',
    fromGeneration: head.generation - 1,
    toGeneration: head.generation,
    files: before.kind === 'read' ? compareFiles(before.head.segments, head.segments) : [],
    result: 'accepted',
    detail: 'recorded by the next publisher',
  });
  return undefined;
}
