import { parseHead } from '@laburnumshift/check-declarations';
import type { ConfigHead, PlatformClient } from '@laburnumshift/types';
import { CONFIG_KINDS } from './config-kinds.js';
import { EMPTY_HEAD } from './empty-head.js';
import { formatGeneration } from './format-generation.js';
import type { PlatformFailure } from './platform-failure.js';

/**
 * Reads the head of an earlier generation from the history; `absent` when it is not kept or not valid. Generation 0 is
 * the empty head.
 */
export async function readGeneration(
  platform: PlatformClient,
  generation: number,
): Promise<
  { readonly kind: 'read'; readonly head: ConfigHead } | { readonly kind: 'absent' } | PlatformFailure
> {
  if (generation === 0) return { kind: 'read', head: EMPTY_HEAD };
  const result = await platform.readObject(CONFIG_KINDS.history, formatGeneration(generation), 'config');
  if (result.kind !== 'found') return result;
  const head = parseHead(result.object.value);
  return head === undefined ? { kind: 'absent' } : { kind: 'read', head };
}
