import type { EncodedObservations } from './encoded-observations.js';

/** Data that a host sends only to its relays, in addition to its loads. */
export type RelayReport = readonly [
  /** Whether the receiver is the relay that the sender follows. */
  isFollower: boolean,
  /** All placement requests up to this number were answered or abandoned; the loads include the calls placed by their answers. */
  settled: number,
  observations: EncodedObservations,
];
