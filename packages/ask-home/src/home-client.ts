import type { PlacementRequest } from '@laburnumshift/forward-types';
import type { PlacementAnswer } from './placement-answer.js';

/** Client of the home host: the host that places the calls of this host's failure domain. */
export interface HomeClient {
  /**
   * Asks the home host for a server. Resolves with `wait` when the placement request was queued at the home host and no capacity became
   * free. Resolves with `undefined` when no home host is available, when the home host did not answer in time or is not ready, and when
   * `signal` is aborted. Except after an abort, this host then decides itself.
   */
  readonly askHome: (request: PlacementRequest, signal: AbortSignal) => Promise<PlacementAnswer | undefined>;
  /** Returns the name of the home host that would be asked now; `undefined` when none is available. */
  readonly findHome: () => string | undefined;
  /** Returns the highest number up to which all placement requests were answered or abandoned; 0 at first. */
  readonly getSettledNumber: () => number;
}
