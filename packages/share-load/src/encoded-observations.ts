import type { BoardObservations } from '@laburnumshift/track-engines';

/** Observations of the calls of a host, as sent: results, reads, runs and fetches. */
export type EncodedObservations = readonly [
  results: BoardObservations['results'],
  reads: BoardObservations['reads'],
  runs: BoardObservations['runs'],
  fetches: BoardObservations['fetches'],
];
