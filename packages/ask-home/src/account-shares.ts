import type { PlacementRequest } from '@laburnumshift/forward-types';

/** Shares of the accounts in the capacity that calls of one service and priority got recently. */
export interface AccountShares {
  /** Records that a call was placed. */
  readonly recordPlacement: (request: PlacementRequest) => void;
  /** Returns by how much the share of the call's account exceeds an equal share, from 0 to 1; 0 for a call without an account. */
  readonly computeExcessShare: (request: PlacementRequest) => number;
}
