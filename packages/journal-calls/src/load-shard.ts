import { readMonotonicMs, readWallMs } from '@laburnumshift/clock';
import type { PlatformClient } from '@laburnumshift/types';
import { applyRecordsToView } from './apply-records-to-view.js';
import type { JournalLimits } from './journal-limits.js';
import type { JournalRecord } from './journal-record.js';
import { readHint } from './read-hint.js';
import { readJournalObject } from './read-journal-object.js';
import { refreshView } from './refresh-view.js';
import type { ShardView } from './shard-view.js';

/**
 * Loads a shard: the chain of objects from the hint to the tail, and older objects until `maxEntries` is reached.
 * Returns `undefined` when the platform cannot be read, the tail was not reached, or the load took longer than
 * `maxViewAgeMs`.
 *
 * An object is created with `ifVersion` 0 only at a sequence number that was reached from an existing predecessor, or
 * at 0 when there is no hint. Deletion advances the hint first and keeps objects for the retention time. A number
 * reached less than `maxViewAgeMs` ago therefore cannot belong to a deleted object, and the chain cannot fork.
 */
export async function loadShard(
  platform: PlatformClient,
  shard: number,
  limits: JournalLimits,
): Promise<ShardView | undefined> {
  const startMs = readMonotonicMs();
  const hint = await readHint(platform, shard);
  if (hint === undefined) return undefined;
  const older: (readonly JournalRecord[])[] = [];
  let count = 0;
  let incompleteUntilMs = 0;
  for (let seq = hint.last - 1; seq >= hint.first; seq -= 1) {
    const object = await readJournalObject(platform, shard, seq);
    if (object === undefined) return undefined;
    // Another node deleted the object after the hint was read.
    if (object === 'absent') break;
    if (count + object.records.length > limits.maxEntries) {
      // Because writers' clocks differ, an older object may hold a later time.
      incompleteUntilMs = Math.max(0, ...object.records.map((r) => r.at)) + limits.maxClockSkewMs;
      break;
    }
    count += object.records.length;
    older.unshift(object.records);
  }
  const view: ShardView = {
    seq: hint.last,
    version: 0,
    records: [],
    confirmedAtMs: startMs,
    first: hint.first,
    entries: new Map(),
    bytes: 0,
    incompleteUntilMs: Math.min(incompleteUntilMs, readWallMs() + limits.maxClockSkewMs),
  };
  for (const records of older) applyRecordsToView(view, records, limits);
  if (!(await refreshView(platform, shard, view, limits))) return undefined;
  const isReached = view.seq > hint.last || view.version > 0 || hint.last === 0;
  const isFresh = readMonotonicMs() - startMs < limits.maxViewAgeMs;
  return isReached && isFresh ? view : undefined;
}
