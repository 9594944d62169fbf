import { readMonotonicMs } from '@laburnumshift/clock';
import type { PlatformClient } from '@laburnumshift/types';
import { applyRecordsToView } from './apply-records-to-view.js';
import type { JournalLimits } from './journal-limits.js';
import { readJournalObject } from './read-journal-object.js';
import type { ShardView } from './shard-view.js';

/**
 * Updates a view to the current tail: rereads the known tail and follows the chain past sealed objects. Returns false
 * when the platform cannot be read or the known tail no longer exists; the shard must then be loaded again.
 */
export async function refreshView(
  platform: PlatformClient,
  shard: number,
  view: ShardView,
  limits: Pick<JournalLimits, 'maxEntries' | 'maxViewBytes'>,
): Promise<boolean> {
  for (;;) {
    const object = await readJournalObject(platform, shard, view.seq);
    if (object === undefined) return false;
    if (object === 'absent') {
      // Absence does not confirm the chain, because the object may have been created and deleted meanwhile.
      // `confirmedAtMs` therefore stays.
      return view.version === 0;
    }
    // Objects only grow, so the known records are a prefix of those read.
    applyRecordsToView(view, object.records.slice(view.records.length), limits);
    view.confirmedAtMs = readMonotonicMs();
    view.records = object.records;
    view.version = object.version;
    if (!object.sealed) return true;
    view.seq += 1;
    view.version = 0;
    view.records = [];
  }
}
