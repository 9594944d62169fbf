import type { ObjectChange, ObjectSource } from '@laburnumshift/forward-types';
import type { RestorePolicy } from './restore-policy.js';

/** Options of `watchKind`. */
export interface WatchOptions {
  readonly source: ObjectSource;
  readonly kind: string;
  /** Longest wait of one watch call, milliseconds. Each answer confirms the copy, so its age normally stays below this. */
  readonly waitMs: number;
  /** Whether lists may be several seconds old; later watches then deliver the missing changes. False by default. */
  readonly isStaleAllowed?: boolean;
  /** Calls that fail for a shorter time are no outage of the store, milliseconds; 0 by default. */
  readonly minOutageMs?: number;
  /**
   * The store is assumed to answer again at most this long after its last failed call was sent, milliseconds: a host may notice the
   * end of an outage late. Unlimited by default.
   */
  readonly maxReturnDelayMs?: number;
  /** Returns the pause after an answer with changes, milliseconds, so that further changes arrive in one answer; 0 by default. */
  readonly getBatchDelayMs?: () => number;
  /** What is kept of the copy when the store is restored; nothing by default. */
  readonly restorePolicy?: RestorePolicy;
  /** Called when the copy first follows the store after a restore, after `onChanges`. */
  readonly onRestored?: () => void;
  /**
   * Receives changes after they are applied to the copy, in store order; after a list, the differences from the previous copy.
   */
  readonly onChanges: (changes: readonly ObjectChange[]) => void;
}
