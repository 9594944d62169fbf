import type { ReadChange } from '@laburnumshift/read-cache-events';

/** Selects the events that are of use to other hosts: those of pieces that were seen at two places. */
export interface RepeatFilter {
  /** The changes to pass on; the first place of a piece comes with the second one. */
  readonly filterChange: (change: ReadChange) => readonly ReadChange[];
  readonly isRepeated: (scope: string, piece: string) => boolean;
}
