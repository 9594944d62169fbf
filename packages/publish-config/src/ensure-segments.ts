import type { ConfigHead, ConfigSegment, PlatformClient } from '@laburnumshift/types';
import { CONFIG_KINDS } from './config-kinds.js';
import type { PlatformFailure } from './platform-failure.js';
import { runBatches } from './run-batches.js';
import type { StoredSegment } from './stored-segment.js';

/**
 * Limit on the writes of one segment. Conflicts with publishers and the cleanup end after a few writes, because each
 * publisher raises `base`.
 */
const MAX_ATTEMPTS = 10;

/**
 * Ensures that the segments are stored and that the cleanup does not delete them while the head is `current`. Segments
 * that `current` uses are never deleted. A segment that was stored earlier is written again with the new base, so that
 * a deletion by a cleanup that read the older version fails.
 */
export function ensureSegments(
  platform: PlatformClient,
  current: ConfigHead,
  segments: ReadonlyMap<string, ConfigSegment>,
  changeId: string,
): Promise<PlatformFailure | undefined> {
  const used = new Set(Object.values(current.segments));
  const base = current.generation;
  return runBatches(
    [...segments].filter(([hash]) => !used.has(hash)),
    async ([hash, segment]): Promise<PlatformFailure | undefined> => {
      let version = 0;
      for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
        const value: StoredSegment = { base, segment };
        const writeId = `${changeId}-${String(base)}-${String(attempt)}`;
        const { kind, segment: name } = { kind: CONFIG_KINDS.segment, segment: hash };
        const result = await platform.writeObject(kind, name, value, version, writeId, 'config');
        if (result.kind === 'written') return undefined;
        if (result.kind === 'too-large')
          return { kind: 'unavailable', detail: `segment ${hash} is too large` };
        if (result.kind === 'unavailable') return result;
        const stored = await platform.readObject<StoredSegment>(kind, name, 'config');
        if (stored.kind === 'unavailable') return stored;
        if (stored.kind === 'found' && stored.object.value.base >= base) return undefined;
        // The client already retried until its deadline, so another attempt would only delay the operator's answer.
        if (result.kind === 'unknown') return { kind: 'unavailable', detail: result.detail };
        version = stored.kind === 'found' ? stored.object.version : 0;
      }
      return { kind: 'unavailable', detail: `segment ${hash} changes too often` };
    },
  );
}
