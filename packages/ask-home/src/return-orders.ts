import type { PlacementRequest } from '@laburnumshift/forward-types';

/** Promises to refused callers that capacity is there when they retry at the time that they were told. */
export interface ReturnOrders {
  /** Records that a caller of the account was told to retry after `retryAfterMs`. */
  readonly addOrder: (request: PlacementRequest, retryAfterMs: number) => void;
  /**
   * Returns whether the call has an order. A new call gets the earliest due one of its service, priority and account. A call that is
   * asked for again keeps the one that it has.
   */
  readonly claimOrder: (request: PlacementRequest, isNewCall: boolean) => boolean;
  /** Whether a new call like this would get an order. */
  readonly hasDueOrder: (request: PlacementRequest) => boolean;
  /** Removes the order of a call that was placed or refused. */
  readonly releaseCall: (callId: string) => void;
  /** Number of orders; at most 1024. */
  readonly countOrders: () => number;
}
