import type { CacheEvent } from './cache-event.js';

/** Answer to a read of cache events. */
export interface CacheEventsPage {
  /** Changes when the engine restarted. */
  readonly bootId: string;
  /** Position for the next read. */
  readonly next: number;
  /** Some events between the position asked for and the first event are gone. */
  readonly isGap: boolean;
  /** Time on the engines' clock when the page was made, milliseconds; `undefined` when not told. */
  readonly clockMs: number | undefined;
  readonly events: readonly CacheEvent[];
}
