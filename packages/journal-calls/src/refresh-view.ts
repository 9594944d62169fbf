import { readMonotonicMs } from '@laburnumshift/clock';
import type { PlatformClient } from '@laburnumshift/types';
import { applyToView } from './apply-to-view.js';
import type { JournalLimits } from './journal-limits.js';
import { readJournalObject } from './read-journal-object.js';
import type { ShardView } from './shard-view.js';

/**
 * Brings a view up to the present tail: reads the tail again and moves on past sealed objects. False when the platform
 * cannot be read or when the tail is gone, which asks for a new load.
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
      // Does not confirm the chain: the number may have been used and deleted meanwhile, so the view ages here.
      return view.version === 0;
    }
    // Objects only grow, so the records that were known are a prefix of the ones read.
    applyToView(view, object.records.slice(view.records.length), limits);
    view.confirmedMs = readMonotonicMs();
    view.records = object.records;
    view.version = object.version;
    if (!object.sealed) return true;
    view.seq += 1;
    view.version = 0;
    view.records = [];
  }
}
