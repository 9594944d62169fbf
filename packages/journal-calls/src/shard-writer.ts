import type { CallEntry } from './call-entry.js';
import type { AppendRequest } from './append-request.js';

/** Writes the records of one shard on one node and caches its entries. */
export interface ShardWriter {
  readonly addRequest: (intent: AppendRequest) => void;
  /** Returns the cached entry, which may be stale. */
  readonly getCachedEntry: (id: string) => CallEntry | undefined;
  /**
   * True when entries with records at or after this wall-clock time, milliseconds since the epoch, may be missing from
   * memory.
   */
  readonly isIncomplete: (sinceMs: number) => boolean;
  /**
   * Returns the entry of a call from a view confirmed less than `maxAgeMs` ago, rereading the tail if needed;
   * `undefined` when the platform cannot be read. Records before `sinceMs`, milliseconds since the epoch, need not be
   * searched.
   */
  readonly refreshEntry: (
    id: string,
    sinceMs: number,
    maxAgeMs: number,
  ) => Promise<{ readonly entry: CallEntry | undefined } | undefined>;
  /** Resolves at the next change of the view, or after `ms` milliseconds. */
  readonly waitForChange: (ms: number) => Promise<void>;
  /** Sequence number of the tail; `undefined` while no view is loaded. */
  readonly getTailSeq: () => number | undefined;
  readonly close: () => void;
}
