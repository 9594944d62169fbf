import type { CacheChange } from '@laburnumshift/read-cache-events';

/** Selects the events that are useful to other hosts: those of pieces seen on at least two engines or stores. */
export interface ReplicatedPieceFilter {
  /** Returns the changes to forward. The event of a piece's first location is included once a second location appears. */
  readonly filterChange: (change: CacheChange) => readonly CacheChange[];
  /** Whether the piece was seen on at least two engines or stores; false again after it was evicted from the filter. */
  readonly isReplicated: (scope: string, piece: string) => boolean;
}
