import type { ServerChoice } from '@laburnumshift/choose-server';
import type { PlacementRequest } from '@laburnumshift/forward-types';
import type { PlacementQueueOptions } from './placement-queue-options.js';

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
  /**
   * Decides a new placement request as `submitPlacementRequest` does, without changing anything. Queued requests, which a new one lets
   * decide again first, stay as they are.
   *
   * @param chooseReading chooses like `chooseServer` of the options and changes nothing
   */
  readonly explainPlacementRequest: (
    request: PlacementRequest,
    chooseReading: PlacementQueueOptions['chooseServer'],
  ) => ServerChoice;
  /** Number of queued placement requests, at most 512. */
  readonly countQueued: () => number;
}
