import type { CacheEvent } from './cache-event.js';

/** One page of the cache events of an engine or a store. */
export interface CacheEventsPage {
  /** Changes when the engine restarts. */
  readonly bootId: string;
  /** Position for the next read. */
  readonly next: number;
  /** Events between the requested position and the first event of the page are no longer available. */
  readonly hasGap: boolean;
  /** Time of the page on the engines' clock, milliseconds; `undefined` when not stated. */
  readonly clockMs: number | undefined;
  readonly events: readonly CacheEvent[];
}
