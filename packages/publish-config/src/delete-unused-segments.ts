import { parseHead } from '@laburnumshift/check-declarations';
import type { PlatformClient } from '@laburnumshift/types';
import { CONFIG_KINDS } from './config-kinds.js';
import { formatGeneration } from './format-generation.js';
import { readHead } from './read-head.js';
import type { StoredSegment } from './stored-segment.js';

const DEFAULT_KEPT_HEADS = 500;

/**
 * Deletes old heads, and the segments that neither the current head nor a kept earlier head uses.
 *
 * Before a publisher updates the head, it writes its segments with the generation of the head that it read (`base`). A
 * segment whose base is below the current generation therefore belongs to no update that can still succeed. The head
 * has changed since, so the publisher would have to write the segment again first, which makes this conditional
 * deletion fail. Segments are listed before the head is read, so this holds for every listed version.
 *
 * @param kept number of earlier heads to keep
 * @returns the number of deleted segments; 0 without any deletion when the platform or an earlier head cannot be read
 */
export async function deleteUnusedSegments(
  platform: PlatformClient,
  kept = DEFAULT_KEPT_HEADS,
): Promise<number> {
  const segments = await platform.listObjects<StoredSegment>(CONFIG_KINDS.segment, '', 'cleanup');
  const current = await readHead(platform);
  const history = await platform.listObjects(CONFIG_KINDS.history, '', 'cleanup');
  if (segments.kind !== 'listed' || current.kind !== 'read' || history.kind !== 'listed') return 0;

  const { head } = current;
  const oldest = formatGeneration(Math.max(0, head.generation - kept));
  const used = new Set(Object.values(head.segments));
  for (const item of history.items) {
    const earlier = parseHead(item.value);
    // A head that is not valid might use any segment.
    if (earlier === undefined) return 0;
    if (item.name >= oldest) for (const hash of Object.values(earlier.segments)) used.add(hash);
  }
  for (const item of history.items) {
    if (item.name < oldest) {
      await platform.deleteObject(CONFIG_KINDS.history, item.name, item.version, 'cleanup');
    }
  }
  let deleted = 0;
  for (const { name, version, value } of segments.items) {
    if (used.has(name) || value.base >= head.generation) continue;
    const result = await platform.deleteObject(CONFIG_KINDS.segment, name, version, 'cleanup');
    if (result.kind === 'written') deleted += 1;
  }
  return deleted;
}
