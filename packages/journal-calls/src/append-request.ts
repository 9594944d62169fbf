import type { CallEntry } from './call-entry.js';
import type { JournalRecord } from './journal-record.js';

/** A request to append a record. The record is built anew from the latest view before each write. */
export interface AppendRequest {
  /** Id of the call. */
  readonly id: string;
  /** Earliest wall-clock time that a record of the call may have, milliseconds since the epoch; 0 when not known. */
  readonly sinceMs: number;
  /** Returns the record to append, or `undefined` when the current entry makes it unnecessary. */
  readonly buildRecord: (entry: CallEntry | undefined) => JournalRecord | undefined;
  /** Called with the entry after a confirmed write or when no record is needed, or with the reason for a failure. */
  readonly settle: (entry: CallEntry | undefined, failure?: string) => void;
  /** False once the requester stopped waiting. No further record is then written for it. */
  readonly isPending: () => boolean;
}
