import { applyRecord } from './apply-record.js';
import type { JournalLimits } from './journal-limits.js';
import type { JournalRecord } from './journal-record.js';
import { setEntry } from './set-entry.js';
import type { ShardView } from './shard-view.js';

/** Applies records to a view and drops the oldest settled entries over the bounds. */
export function applyToView(
  view: ShardView,
  records: readonly JournalRecord[],
  limits: Pick<JournalLimits, 'maxEntries' | 'maxViewBytes'>,
): void {
  for (const record of records) {
    setEntry(view, record.id, applyRecord(view.entries.get(record.id), record));
  }
  for (const [id, entry] of view.entries) {
    if (view.entries.size <= limits.maxEntries && view.bytes <= limits.maxViewBytes) return;
    if (entry.state === 'started') continue;
    setEntry(view, id, undefined);
    view.missingUntilMs = Math.max(view.missingUntilMs, entry.at);
  }
}
