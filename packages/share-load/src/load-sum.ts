import type { ServerLoad } from './server-load.js';

/** Load at each server, summed over hosts. */
export interface LoadSum {
  readonly loads: ReadonlyMap<string, ServerLoad>;
  /** Number of hosts that the sum covers. */
  readonly hosts: number;
}
