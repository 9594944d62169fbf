import type { PlacementRequest } from '@laburnumshift/forward-types';

/** Memory of engines that is kept free for urgent calls that wait or are expected soon. */
export interface MemoryReservations {
  /** Records a call that found no memory when it arrived, so that memory is kept free for further ones of its priority. */
  readonly observeNeed: (request: PlacementRequest) => void;
  /** Reserves freed memory of an engine for a waiting call until it is released, at most for 0.4 s after the last call of this function. */
  readonly reserveEngine: (request: PlacementRequest, engine: string, neededTokens: number) => void;
  /** Removes the reservation of a call. */
  readonly releaseCall: (callId: string) => void;
  /** Returns the memory of one engine that a call must leave free, tokens. */
  readonly getReservedTokens: (
    request: PlacementRequest,
    engine: string,
    engineCount: number,
    capacityTokens: number,
  ) => number;
}
