import type { EncodedServerLoad } from './encoded-server-load.js';

/** Loads at backend servers, and the number of hosts that they cover. */
export interface CoveredLoads {
  readonly loads: readonly EncodedServerLoad[];
  readonly hosts: number;
}
