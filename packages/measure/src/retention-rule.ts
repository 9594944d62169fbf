import type { TrafficClass } from './traffic-class.js';

/**
 * Which pieces of a finished prompt are exported. `by-return` stands in for the retention planner: it keeps the prompts of
 * services whose conversations were seen to return.
 */
export type RetentionRule = (kind: TrafficClass, returnRate: number) => boolean;
