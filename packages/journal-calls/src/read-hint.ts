import type { PlatformClient } from '@laburnumshift/types';
import type { z } from 'zod';
import { HINT_SCHEMA } from './hint-schema.js';

/**
 * Reads the hint of a shard, zeros when there is none; `undefined` when the platform cannot be read or the hint is not
 * valid.
 */
export async function readHint(
  platform: PlatformClient,
  shard: number,
): Promise<(z.infer<typeof HINT_SCHEMA> & { readonly version: number }) | undefined> {
  const read = await platform.readObject('journal-hint', String(shard), 'journal');
  if (read.kind === 'absent') return { first: 0, last: 0, clean: 0, version: 0 };
  if (read.kind === 'unavailable') return undefined;
  const hint = HINT_SCHEMA.safeParse(read.object.value).data;
  return hint === undefined ? undefined : { ...hint, version: read.object.version };
}
