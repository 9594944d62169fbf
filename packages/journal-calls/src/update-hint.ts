import { randomUUID } from 'node:crypto';
import type { PlatformClient } from '@laburnumshift/types';
import type { z } from 'zod';
import type { HINT_SCHEMA } from './hint-schema.js';
import { readHint } from './read-hint.js';

type Hint = z.infer<typeof HINT_SCHEMA>;

/**
 * Raises fields of a shard's hint by a conditional update. Returns the new hint, or `undefined` when it was not
 * confirmed.
 */
export async function updateHint(
  platform: PlatformClient,
  shard: number,
  minimums: Partial<Hint>,
): Promise<Hint | undefined> {
  const hint = await readHint(platform, shard);
  if (hint === undefined) return undefined;
  const next = {
    first: Math.max(hint.first, minimums.first ?? 0),
    last: Math.max(hint.last, minimums.last ?? 0),
    clean: Math.max(hint.clean, minimums.clean ?? 0),
  };
  const result = await platform.writeObject(
    'journal-hint',
    String(shard),
    next,
    hint.version,
    randomUUID(),
    'cleanup',
  );
  return result.kind === 'written' ? next : undefined;
}
