import type { CallEntry } from './call-entry.js';
import type { ShardView } from './shard-view.js';

/** Rough memory of an entry without its answer, bytes; used for the memory limit only. */
const ENTRY_BYTES = 400;

function computeEntryBytes(entry: CallEntry | undefined): number {
  if (entry === undefined) return 0;
  const { answer } = entry;
  return (
    ENTRY_BYTES + (answer === undefined ? 0 : answer.body.length + JSON.stringify(answer.headers).length)
  );
}

/** Sets or removes an entry of a view and updates the view's byte count. */
export function setEntry(view: ShardView, id: string, entry: CallEntry | undefined): void {
  view.bytes += computeEntryBytes(entry) - computeEntryBytes(view.entries.get(id));
  if (entry === undefined) view.entries.delete(id);
  else view.entries.set(id, entry);
}
