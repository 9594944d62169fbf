/** Planners that decide which cached pieces are kept, in which store and tier, and which are prefetched. */
export { createKeepAllPlanner } from './create-keep-all-planner.js';
export { createKeepNonePlanner } from './create-keep-none-planner.js';
export { createRetentionPlanner } from './create-retention-planner.js';
export type { RetentionPlannerOptions } from './retention-planner-options.js';
