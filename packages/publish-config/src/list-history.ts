import type { ConfigHead, PlatformClient } from '@laburnumshift/types';
import { readGeneration } from './read-generation.js';
import { readHead } from './read-head.js';

/**
 * Lists the current head and the earlier heads that are kept, newest first.
 *
 * @param limit maximum number of heads
 * @returns `undefined` while the platform is unavailable
 */
export async function listHistory(
  platform: PlatformClient,
  limit = 20,
): Promise<readonly ConfigHead[] | undefined> {
  const current = await readHead(platform);
  if (current.kind === 'unavailable') return undefined;
  if (current.head.generation === 0) return [];
  const heads = [current.head];
  for (
    let generation = current.head.generation - 1;
    generation > 0 && heads.length < limit;
    generation -= 1
  ) {
    const kept = await readGeneration(platform, generation);
    if (kept.kind === 'unavailable') return undefined;
    if (kept.kind === 'absent') break;
    heads.push(kept.head);
  }
  return heads;
}
