import type { EncodedWork } from './encoded-work.js';
import type { EncodedServerLoad } from './encoded-server-load.js';

/** Loads at backend servers, and the number of hosts that they cover. */
export interface CoveredLoads {
  readonly loads: readonly EncodedServerLoad[];
  readonly hosts: number;
  /** Work of the calls whose time is known; absent from hosts of earlier versions. */
  readonly works?: readonly EncodedWork[] | undefined;
}
