import type { ReadChange } from '@laburnumshift/read-cache-events';

/** The latest changes, by position. */
export interface ChangeLog {
  readonly addChange: (change: ReadChange) => void;
  /** Changes from a position on; `undefined` when some of them are gone. */
  readonly listSince: (position: number) => readonly ReadChange[] | undefined;
  readonly getNext: () => number;
}
