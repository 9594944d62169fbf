import type { ServerLoad } from './server-load.js';

/** Part of a sum. */
export interface LoadPart {
  readonly loads: readonly ServerLoad[];
  readonly hosts: number;
}
