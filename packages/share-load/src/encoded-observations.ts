import type { CallObservations } from '@laburnumshift/track-engines';

/** Observations of the calls of a host, as sent: results, reads, runs and fetches. */
export type EncodedObservations = readonly [
  results: CallObservations['results'],
  reads: CallObservations['reads'],
  runs: CallObservations['runs'],
  fetches: CallObservations['fetches'],
];
