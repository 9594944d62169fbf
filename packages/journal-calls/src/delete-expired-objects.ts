import { readWallMs } from '@laburnumshift/clock';
import type { PlatformClient } from '@laburnumshift/types';
import { readHint } from './read-hint.js';
import { readJournalObject } from './read-journal-object.js';
import { updateHint } from './update-hint.js';

/** Limit on the objects examined in one call. */
const MAX_EXAMINED_OBJECTS = 256;

/**
 * Deletes the oldest objects of a shard whose records all belong to keys that are no longer accepted. The hint is
 * advanced first and objects are deleted in order, so that `loadShard` never takes a deleted sequence number for the
 * tail.
 *
 * @param keepMs how long a record is kept after it was written, milliseconds
 */
export async function deleteExpiredObjects(
  platform: PlatformClient,
  shard: number,
  keepMs: number,
): Promise<void> {
  const hint = await readHint(platform, shard);
  if (hint === undefined) return;
  const oldest = readWallMs() - keepMs;
  let { first } = hint;
  for (let count = 0; count < MAX_EXAMINED_OBJECTS; count += 1) {
    const object = await readJournalObject(platform, shard, first);
    if (object === undefined || object === 'absent' || !object.sealed) break;
    if (object.records.some((record) => record.at >= oldest)) break;
    // The last object is kept even if sealed, because a successor is created only after an existing predecessor.
    const successor = await readJournalObject(platform, shard, first + 1);
    if (successor === undefined || successor === 'absent') break;
    first += 1;
  }
  if (first === hint.clean) return;
  const moved = await updateHint(platform, shard, { first, last: first });
  if (moved === undefined) return;
  let { clean } = moved;
  for (; clean < moved.first; clean += 1) {
    const object = await readJournalObject(platform, shard, clean);
    if (object === undefined) break;
    if (object === 'absent') continue;
    const name = `${String(shard)}.${String(clean)}`;
    const result = await platform.deleteObject('journal', name, object.version, 'cleanup');
    if (result.kind === 'unavailable' || result.kind === 'unknown') break;
  }
  if (clean > moved.clean) await updateHint(platform, shard, { clean });
}
