import type { LoadShare } from './load-share.js';

/** Work at each server, added up over hosts. */
export interface LoadSum {
  readonly loads: ReadonlyMap<string, LoadShare>;
  /** Hosts that the sum covers. */
  readonly hosts: number;
}
