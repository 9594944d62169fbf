import type { ServerLoad } from './server-load.js';

/** Loads at backend servers, and the number of hosts that they cover. */
export interface CoveredLoads {
  readonly loads: readonly ServerLoad[];
  readonly hosts: number;
}
