import type { CallEntry } from './call-entry.js';
import type { JournalRecord } from './journal-record.js';

/** What a node knows of a shard. */
export interface ShardView {
  /** Sequence number of the tail. */
  seq: number;
  /** Version of the tail object; 0 when it does not exist yet. */
  version: number;
  records: readonly JournalRecord[];
  /** Monotonic time of the last read or write that showed the chain up to the tail. */
  confirmedMs: number;
  readonly first: number;
  /** Calls by id, oldest first. */
  readonly entries: Map<string, CallEntry>;
  /** Memory of the entries, bytes. */
  bytes: number;
  /** Records of this wall-clock time or earlier may be missing from `entries`; 0 when none is. */
  missingUntilMs: number;
}
