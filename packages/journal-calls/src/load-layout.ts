import { randomUUID } from 'node:crypto';
import type { PlatformClient } from '@laburnumshift/types';
import { LAYOUT_SCHEMA } from './layout-schema.js';

/** Limit on the reads, including those after a conflict or an unknown result of the creation. */
const MAX_READS = 3;

/**
 * Reads the number of shards that all nodes use. Creates the layout object when there is none; of several nodes that
 * try this at once, the conditional update lets only one succeed.
 *
 * @param shards number to store when there is none
 * @returns the stored number, or the reason for a failure as text
 */
export async function loadLayout(platform: PlatformClient, shards: number): Promise<number | string> {
  for (let reads = 0; reads < MAX_READS; reads += 1) {
    const read = await platform.readObject('journal-layout', 'main', 'journal');
    if (read.kind === 'unavailable') return read.detail;
    if (read.kind === 'found') {
      const layout = LAYOUT_SCHEMA.safeParse(read.object.value).data;
      return layout?.shards ?? 'journal-layout/main has no valid number of shards';
    }
    const result = await platform.writeObject(
      'journal-layout',
      'main',
      { shards },
      0,
      randomUUID(),
      'journal',
    );
    if (result.kind === 'written') return shards;
    if (result.kind === 'unavailable') return result.detail;
  }
  return 'the creation of journal-layout/main was not confirmed';
}
