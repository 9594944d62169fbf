import type { CacheChange } from '@laburnumshift/read-cache-events';

/** Bounded log of the latest changes, each at a position that counts up from 0. */
export interface ChangeLog {
  readonly addChange: (change: CacheChange) => void;
  /** Lists the changes from `position` on; `undefined` when some were evicted or the position is past the end. */
  readonly listSince: (position: number) => readonly CacheChange[] | undefined;
  /** Returns the position that the next change gets. */
  readonly getNextPosition: () => number;
}
