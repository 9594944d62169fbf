import type { ServerChoice } from '@laburnumshift/choose-server';
import type { PlacementRequest } from '@laburnumshift/forward-types';

/** Queue that decides placement requests in order of priority. */
export interface PlacementQueue {
  /**
   * Decides a placement request immediately, or queues it until a server has free capacity.
   *
   * @param onChoice called exactly once; with `wait` when no capacity became free within `PLACEMENT_TIMING.maxQueueMs` or the queue is full
   * @returns true when the placement request was queued, false when `onChoice` was called before the return
   */
  readonly submitPlacementRequest: (
    request: PlacementRequest,
    onChoice: (choice: ServerChoice) => void,
  ) => boolean;
  /** Number of queued placement requests, at most 512. */
  readonly countQueued: () => number;
}
