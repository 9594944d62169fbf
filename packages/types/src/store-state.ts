import type { StoreHost } from './store-host.js';
import type { StoreStat } from './store-stat.js';

/** State of a store as an input of the retention planner. */
export interface StoreState {
  readonly host: StoreHost;
  /** Last report of the store; `undefined` when there is none. */
  readonly stat: StoreStat | undefined;
  readonly alive: boolean;
}
