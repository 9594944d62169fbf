import type { ConfigHead, PlatformClient } from '@laburnumshift/types';
import { readGeneration } from './read-generation.js';
import { readHead } from './read-head.js';

/**
 * Determines whether a write of the head took effect whose response was lost. Each publisher stores the head that it
 * replaces in the history, so the head of that generation is either the current one or in the history. The result is
 * `open` while an earlier head is current, because the write may still arrive, and when the platform cannot be read.
 */
export async function resolveHeadWrite(
  platform: PlatformClient,
  written: ConfigHead,
): Promise<'applied' | 'not-applied' | 'open'> {
  const current = await readHead(platform);
  if (current.kind === 'unavailable' || current.head.generation < written.generation) return 'open';
  if (current.head.generation === written.generation) {
    return current.head.changeId === written.changeId ? 'applied' : 'not-applied';
  }
  const earlier = await readGeneration(platform, written.generation);
  if (earlier.kind !== 'read') return 'open';
  return earlier.head.changeId === written.changeId ? 'applied' : 'not-applied';
}
