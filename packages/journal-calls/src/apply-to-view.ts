import { applyRecord } from './apply-record.js';
import type { JournalRecord } from './journal-record.js';
import type { ShardView } from './shard-view.js';

/** Applies records to a view and drops the oldest settled entries over the bound. */
export function applyToView(view: ShardView, records: readonly JournalRecord[], maxEntries: number): void {
  for (const record of records) {
    const entry = applyRecord(view.entries.get(record.id), record);
    if (entry === undefined) view.entries.delete(record.id);
    else view.entries.set(record.id, entry);
  }
  if (view.entries.size <= maxEntries) return;
  for (const [id, entry] of view.entries) {
    if (view.entries.size <= maxEntries) return;
    if (entry.state === 'started') continue;
    view.entries.delete(id);
    view.missingUntilMs = Math.max(view.missingUntilMs, entry.at);
  }
}
