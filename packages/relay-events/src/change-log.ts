import type { ReadChange } from '@laburnumshift/read-cache-events';

/** Bounded log of the latest changes, each at a position that counts up from 0. */
export interface ChangeLog {
  readonly addChange: (change: ReadChange) => void;
  /** Lists the changes from `position` on; `undefined` when some were evicted or the position is past the end. */
  readonly listSince: (position: number) => readonly ReadChange[] | undefined;
  /** Returns the position that the next change gets. */
  readonly getNextPosition: () => number;
}
