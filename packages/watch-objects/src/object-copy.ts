import type { Moment } from '@laburnumshift/clock';
import type { CopyState, RelayedChanges, StoredObject } from '@laburnumshift/forward-types';

/** Local copy of all objects of one kind. */
export interface ObjectCopy {
  /** Objects by name. */
  readonly objects: ReadonlyMap<string, StoredObject>;
  /** Returns an upper bound of the age of the copy, milliseconds; infinite before the first list. */
  readonly getAgeMs: () => number;
  /** Returns the time since the assumed end of the last store outage, milliseconds; infinite when there was no outage. */
  readonly getMsSinceRecovery: () => number;
  /** For use inside `onChanges`: none of the changes being handled was made before this moment. */
  readonly getChangedSince: () => Moment;
  /** Returns revisions and ages of this copy for other hosts; `undefined` before the first list. */
  readonly readState: () => CopyState | undefined;
  /**
   * Returns the changes after a revision for other hosts; all objects for revision 0, which precedes all revisions. `undefined`
   * before the first list, or when some changes after the revision are no longer known.
   */
  readonly readChangesSince: (revision: number) => RelayedChanges | undefined;
  /** Stops the watch; the objects stay readable and age. */
  readonly close: () => void;
}
