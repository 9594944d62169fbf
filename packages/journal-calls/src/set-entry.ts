import type { CallEntry } from './call-entry.js';
import type { ShardView } from './shard-view.js';

/** Memory of an entry without its answer, bytes; measured roughly, for the bound only. */
const ENTRY_BYTES = 400;

function measureEntry(entry: CallEntry | undefined): number {
  if (entry === undefined) return 0;
  const { answer } = entry;
  return (
    ENTRY_BYTES + (answer === undefined ? 0 : answer.body.length + JSON.stringify(answer.headers).length)
  );
}

/** Sets or removes an entry of a view and keeps the count of its bytes. */
export function setEntry(view: ShardView, id: string, entry: CallEntry | undefined): void {
  view.bytes += measureEntry(entry) - measureEntry(view.entries.get(id));
  if (entry === undefined) view.entries.delete(id);
  else view.entries.set(id, entry);
}
