import type { PlatformClient } from '@laburnumshift/types';
import { applyRecord } from './apply-record.js';
import type { CallEntry } from './call-entry.js';
import type { JournalRecord } from './journal-record.js';
import { readJournalObject } from './read-journal-object.js';
import type { ShardView } from './shard-view.js';

/**
 * Searches the sealed objects of a shard for a call, from the newest to the oldest.
 *
 * @param sinceMs records before this wall-clock time, milliseconds since the epoch, cannot belong to the call
 * @param maxScannedObjects limit on the objects read
 * @returns the entry in a wrapper, empty when the shard has none; `undefined` when the platform cannot be read or the
 *   limit was reached
 */
export async function findOlderCall(
  platform: PlatformClient,
  shard: number,
  view: ShardView,
  id: string,
  sinceMs: number,
  maxScannedObjects: number,
): Promise<{ readonly entry: CallEntry | undefined } | undefined> {
  const found: JournalRecord[] = view.records.filter((record) => record.id === id);
  let scanned = 0;
  for (let seq = view.seq - 1; seq >= view.first; seq -= 1) {
    if (scanned >= maxScannedObjects) return undefined;
    scanned += 1;
    const object = await readJournalObject(platform, shard, seq);
    if (object === undefined) return undefined;
    if (object === 'absent') break;
    found.unshift(...object.records.filter((record) => record.id === id));
    if (object.records.every((record) => record.at < sinceMs)) break;
  }
  let entry: CallEntry | undefined;
  for (const record of found) entry = applyRecord(entry, record);
  return { entry };
}
