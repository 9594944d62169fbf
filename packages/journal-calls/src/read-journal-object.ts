import type { PlatformClient } from '@laburnumshift/types';
import { JOURNAL_OBJECT_SCHEMA } from './journal-object-schema.js';
import type { JournalRecord } from './journal-record.js';

/**
 * Reads one object of a shard's chain; `absent` when it does not exist, `undefined` when it cannot be read or is not
 * valid.
 */
export async function readJournalObject(
  platform: PlatformClient,
  shard: number,
  seq: number,
): Promise<
  | { readonly version: number; readonly sealed: boolean; readonly records: readonly JournalRecord[] }
  | 'absent'
  | undefined
> {
  const read = await platform.readObject('journal', `${String(shard)}.${String(seq)}`, 'journal');
  if (read.kind === 'absent') return 'absent';
  if (read.kind === 'unavailable') return undefined;
  const value = JOURNAL_OBJECT_SCHEMA.safeParse(read.object.value).data;
  return value === undefined ? undefined : { version: read.object.version, ...value };
}
