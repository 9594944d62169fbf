import type { ConfigHead, PlatformClient } from '@laburnumshift/types';
import { readGeneration } from './read-generation.js';
import { readHead } from './read-head.js';

/**
 * Finds out whether a head whose answer was lost took effect. Each publisher keeps the head that it replaces, so the head
 * of that generation is either current or in the history. While the previous head is still current, the lost write may
 * yet arrive and the question stays open.
 */
export async function resolveHead(
  platform: PlatformClient,
  written: ConfigHead,
): Promise<'applied' | 'not-applied' | 'open'> {
  const current = await readHead(platform);
  if (current.kind === 'unavailable' || current.head.generation < written.generation) return 'open';
  if (current.head.generation === written.generation) {
    return current.head.changeId === written.changeId ? 'applied' : 'not-applied';
  }
  const kept = await readGeneration(platform, written.generation);
  if (kept.kind !== 'read') return 'open';
  return kept.head.changeId === written.changeId ? 'applied' : 'not-applied';
}
