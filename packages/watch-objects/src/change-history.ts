import type { Moment } from '@laburnumshift/clock';
import type { ObjectChange, RelayedChanges, StoredObject } from '@laburnumshift/forward-types';

/** Records which objects of a copy changed, and since when. */
export interface ChangeHistory {
  /** Adds the changes of a watch; none of them was made before `since`. */
  readonly addChanges: (changes: readonly ObjectChange[], since: Moment) => void;
  /** Adds the differences between a new list and the previous copy. The first list starts the history at `revision`. */
  readonly addListDifferences: (changes: readonly ObjectChange[], revision: number, since: Moment) => void;
  /** Records that the store was restored between two revisions that this copy followed. */
  readonly addRestore: (before: number, after: number) => void;
  /** Returns the last state of a removed object; `undefined` when it is present or its removal is no longer known. */
  readonly getRemoved: (name: string) => StoredObject | undefined;
  /** Returns the revision of the newest change, at least that of the first list; `undefined` before the first list. */
  readonly getNewestRevision: () => number | undefined;
  /**
   * Returns the changes after a revision, and an upper bound of the age of the oldest one in milliseconds. Revision 0 returns
   * all objects. `undefined` when some changes after the revision are not known.
   */
  readonly readSince: (after: number) => Pick<RelayedChanges, 'changes' | 'changedMs'> | undefined;
}
