import type { Interval } from './interval.js';

/** One life of a node, from its start to its end. */
export interface NodeLife extends Interval {
  /** Host with the number of its start, e.g. `entry-1/2`. */
  readonly node: string;
  /** Time of the graceful stop; `endMs` is its completion. */
  readonly stopMs?: number | undefined;
  /** Until then the load balancer may send: the end of the delay that the node grants it. */
  readonly drainMs?: number | undefined;
  /** True when the process was killed. */
  readonly killed: boolean;
  /** Times in which the process was paused. */
  readonly pauses: readonly Interval[];
}
