import type { CallEntry } from './call-entry.js';
import type { JournalRecord } from './journal-record.js';

/** A request to append a record, decided against the newest view each time before a write. */
export interface ShardIntent {
  readonly id: string;
  /** Date of the key when known; older records than that cannot concern the call. Wall-clock milliseconds. */
  readonly sinceMs: number;
  /** The record to append, or `undefined` when the present entry settles the request. */
  readonly decide: (entry: CallEntry | undefined) => JournalRecord | undefined;
  /** Called with the entry after the decision or the confirmed write, or with the reason of a failure. */
  readonly settle: (entry: CallEntry | undefined, failure?: string) => void;
  /** False once the requester has gone; the intent is dropped unless its record may be written already. */
  readonly isOpen: () => boolean;
}
