import { parseSegment } from '@laburnumshift/check-declarations';
import type { ConfigSegment, PlatformClient } from '@laburnumshift/types';
import { CONFIG_KINDS } from './config-kinds.js';
import type { PlatformFailure } from './platform-failure.js';
import { runBatches } from './run-batches.js';
import type { StoredSegment } from './stored-segment.js';

/** Number of missing segments from which a listing in pages of 1 MB needs fewer platform calls than single reads. */
const MIN_LISTED_SEGMENTS = 16;

/**
 * Reads the segments with these hashes that are not in `known` and adds them to it. Returns a failure when one is
 * missing, not valid or cannot be read.
 */
export async function fetchSegments(
  platform: PlatformClient,
  hashes: readonly string[],
  known: Map<string, ConfigSegment>,
): Promise<PlatformFailure | undefined> {
  const missing = [...new Set(hashes)].filter((hash) => !known.has(hash));
  const addSegment = (hash: string, value: unknown): PlatformFailure | undefined => {
    const segment = parseSegment((value as StoredSegment | null)?.segment, hash);
    if (segment === undefined) return { kind: 'unavailable', detail: `segment ${hash} is damaged` };
    known.set(hash, segment);
    return undefined;
  };
  if (missing.length >= MIN_LISTED_SEGMENTS) {
    const listed = await platform.listObjects(CONFIG_KINDS.segment, '', 'config');
    if (listed.kind === 'unavailable') return listed;
    const values = new Map(listed.items.map((item) => [item.name, item.value]));
    for (const hash of missing) if (values.has(hash)) addSegment(hash, values.get(hash));
  }
  return runBatches(
    missing.filter((hash) => !known.has(hash)),
    async (hash) => {
      const result = await platform.readObject(CONFIG_KINDS.segment, hash, 'config');
      if (result.kind === 'unavailable') return result;
      if (result.kind === 'absent') return { kind: 'unavailable', detail: `segment ${hash} is missing` };
      return addSegment(hash, result.object.value);
    },
  );
}
