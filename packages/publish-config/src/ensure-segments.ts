import type { ConfigHead, ConfigSegment, PlatformClient } from '@laburnumshift/types';
import { CONFIG_KINDS } from './config-kinds.js';
import type { PlatformFailure } from './platform-failure.js';
import { runBatches } from './run-batches.js';
import type { StoredSegment } from './stored-segment.js';

/** Conflicts with other publishers and the cleanup end after few rounds, since each raises the base. */
const MAX_ROUNDS = 10;

/**
 * Makes sure that the segments are stored and that cleanup spares them as long as the head is `current`. A segment that
 * `current` uses is safe already. One that is stored from earlier gets the new base, which makes a deletion by a cleanup
 * that read the older version fail.
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
      for (let round = 0; round < MAX_ROUNDS; round += 1) {
        const value: StoredSegment = { base, segment };
        const writeId = `${changeId}-${String(base)}-${String(round)}`;
        const { kind, segment: name } = { kind: CONFIG_KINDS.segment, segment: hash };
        const result = await platform.writeObject(kind, name, value, version, writeId, 'config');
        if (result.kind === 'written') return undefined;
        if (result.kind === 'too-large')
          return { kind: 'unavailable', detail: `segment ${hash} is too large` };
        if (result.kind === 'unavailable') return result;
        const seen = await platform.readObject<StoredSegment>(kind, name, 'config');
        if (seen.kind === 'unavailable') return seen;
        if (seen.kind === 'found' && seen.object.value.base >= base) return undefined;
        // The client has tried until its deadline; another round would only hold up the operator's answer.
        if (result.kind === 'unknown') return { kind: 'unavailable', detail: result.detail };
        version = seen.kind === 'found' ? seen.object.version : 0;
      }
      return { kind: 'unavailable', detail: `segment ${hash} changes too often` };
    },
  );
}
