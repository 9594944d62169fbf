import type { StoreHost } from './store-host.js';
import type { StoreStat } from './store-stat.js';

/** State of a store as the planner sees it. */
export interface StoreView {
  readonly host: StoreHost;
  readonly stat: StoreStat | undefined;
  readonly alive: boolean;
}
