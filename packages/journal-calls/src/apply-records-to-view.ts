import { applyRecord } from './apply-record.js';
import type { JournalLimits } from './journal-limits.js';
import type { JournalRecord } from './journal-record.js';
import { setEntry } from './set-entry.js';
import type { ShardView } from './shard-view.js';

/**
 * Applies records to a view, then evicts its oldest entries that are not in progress until the view is within its
 * limits.
 */
export function applyRecordsToView(
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
    view.incompleteUntilMs = Math.max(view.incompleteUntilMs, entry.at);
  }
}
