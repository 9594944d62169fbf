import type { CallEntry } from './call-entry.js';
import type { ShardIntent } from './shard-intent.js';

/** The writer and view of one shard on one node. */
export interface Shard {
  readonly addIntent: (intent: ShardIntent) => void;
  /** The entry as known here, perhaps stale. */
  readonly getEntry: (id: string) => CallEntry | undefined;
  /** True when records of this wall-clock time may exist that are not in memory because of its bound. */
  readonly isCut: (sinceMs: number) => boolean;
  /**
   * Finds the call after reading the tail again, unless it was read within `maxAgeMs`; `undefined` when the platform
   * cannot be read. Records before `sinceMs`, wall-clock milliseconds, are not searched.
   */
  readonly findFresh: (
    id: string,
    sinceMs: number,
    maxAgeMs: number,
  ) => Promise<{ readonly entry: CallEntry | undefined } | undefined>;
  /** Resolves at the next change of the view, or after the time. */
  readonly waitChange: (ms: number) => Promise<void>;
  readonly getTail: () => number | undefined;
  readonly close: () => void;
}
