import type { PlatformClient } from '@laburnumshift/types';
import { updateHead } from './update-head.js';
import type { PublishResult } from './publish-result.js';
import { readGeneration } from './read-generation.js';

/** Publishes the content of an earlier generation as a new generation. Refused when the earlier one is not kept. */
export async function rollbackConfig(
  platform: PlatformClient,
  generation: number,
  author: string,
): Promise<PublishResult> {
  const earlier = await readGeneration(platform, generation);
  if (earlier.kind === 'unavailable') return earlier;
  if (earlier.kind === 'absent' || generation < 1) {
    const message = `generation ${String(generation)} is not kept; see the history for those that are`;
    return { kind: 'refused', findings: [{ file: '', line: 0, column: 0, path: '', message }] };
  }
  return updateHead(platform, {
    action: 'rollback',
    author,
    target: earlier.head.segments,
    prefix: '',
    contents: new Map(),
  });
}
