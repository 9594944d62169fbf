import type { Interval } from '../history/interval.js';
import type { NodeLife } from '../history/node-life.js';
import type { NodeProcess } from './node-process.js';

/** A node with the record of its life. */
export interface FleetNode {
  readonly index: number;
  readonly process: NodeProcess;
  /** False as soon as the load balancer sends no more requests to it. */
  inService: boolean;
  running: boolean;
  readonly life: { -readonly [K in keyof NodeLife]: NodeLife[K] } & { readonly pauses: Interval[] };
}
