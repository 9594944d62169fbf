import { readWallMs } from '@laburnumshift/clock';
import type { PlatformClient } from '@laburnumshift/types';
import { readHint } from './read-hint.js';
import { readJournalObject } from './read-journal-object.js';
import { updateHint } from './update-hint.js';

/** Objects examined in one round. */
const MAX_ROUND = 256;

/**
 * Deletes the oldest objects of a shard. An object may go only when no key that it may concern is still accepted. The
 * hint moves first and objects go in order, so that `loadShard` never takes a deleted number for the tail.
 *
 * @param keepMs time for which a record is kept after its own time
 */
export async function dropExpired(platform: PlatformClient, shard: number, keepMs: number): Promise<void> {
  const hint = await readHint(platform, shard);
  if (hint === undefined) return;
  const oldest = readWallMs() - keepMs;
  let { first } = hint;
  for (let count = 0; count < MAX_ROUND; count += 1) {
    const object = await readJournalObject(platform, shard, first);
    if (object === undefined || object === 'absent' || !object.sealed) break;
    if (object.records.some((record) => record.at >= oldest)) break;
    // The last object stays even when it is sealed: a successor is created only from an existing predecessor.
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
