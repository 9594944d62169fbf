import type { OutstandingWork } from '@laburnumshift/track-engines';
import type { ServerLoad } from './server-load.js';

/** Load at each server, summed over hosts. */
export interface LoadSum {
  readonly loads: ReadonlyMap<string, ServerLoad>;
  /** Work at each server of the calls whose time is known. */
  readonly work: ReadonlyMap<string, OutstandingWork>;
  /** Number of hosts that the sum covers. */
  readonly hosts: number;
}
