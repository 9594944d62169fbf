import type { PlacementRequest } from '@laburnumshift/forward-types';

/** Shares of the priorities in the work that was placed recently at the servers of one service. */
export interface PriorityShares {
  /** Records that a call was placed. */
  readonly recordPlacement: (request: PlacementRequest) => void;
  /** Whether more urgent calls got all but a minimum share of the placed work, so that the call would starve by its priority. */
  readonly isStarved: (request: PlacementRequest) => boolean;
}
