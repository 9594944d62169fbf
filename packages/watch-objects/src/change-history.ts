import type { Moment } from '@laburnumshift/clock';
import type { ObjectChange, RelayedChanges } from '@laburnumshift/forward-types';

/** Records which objects of a copy changed, and since when. */
export interface ChangeHistory {
  /** Adds the changes of a watch; none of them was made before `since`. */
  readonly addChanges: (changes: readonly ObjectChange[], since: Moment) => void;
  /** Adds the differences between a new list and the previous copy. The first list starts the history at `revision`. */
  readonly addListDifferences: (changes: readonly ObjectChange[], revision: number, since: Moment) => void;
  /** Returns the revision of the newest change, at least that of the first list; `undefined` before the first list. */
  readonly getNewestRevision: () => number | undefined;
  /**
   * Returns the changes after a revision, and an upper bound of the age of the oldest one in milliseconds. Revision 0 returns
   * all objects. `undefined` when some removals after the revision are no longer known.
   */
  readonly readSince: (after: number) => Pick<RelayedChanges, 'changes' | 'changedMs'> | undefined;
}
