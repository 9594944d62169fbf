import type { CallEntry } from './call-entry.js';
import type { JournalRecord } from './journal-record.js';

/** A node's in-memory copy of a shard: its calls and the end of its chain of objects. */
export interface ShardView {
  /** Sequence number of the tail, the object that receives new records. */
  seq: number;
  /** Version of the tail object; 0 when it does not exist yet. */
  version: number;
  /** Records of the tail object. */
  records: readonly JournalRecord[];
  /** Monotonic time of the last read or write that confirmed the chain up to the tail, milliseconds. */
  confirmedAtMs: number;
  /** Lowest sequence number that may hold valid records, from the hint at the time of loading. */
  readonly first: number;
  /** Entries by call id, in the order of their first records. */
  readonly entries: Map<string, CallEntry>;
  /** Estimated memory of the entries, bytes. */
  bytes: number;
  /**
   * Entries with records up to this wall-clock time, milliseconds since the epoch, may be missing from `entries`; 0
   * when none is.
   */
  incompleteUntilMs: number;
}
