import type { LoadShare } from './load-share.js';

/** Load at each server, summed over hosts. */
export interface LoadSum {
  readonly loads: ReadonlyMap<string, LoadShare>;
  /** Number of hosts that the sum covers. */
  readonly hosts: number;
}
