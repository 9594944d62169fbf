import type { RetentionPlanner } from '@laburnumshift/types';

/** Creates the baseline planner that keeps nothing in stores. */
export function createKeepNonePlanner(): RetentionPlanner {
  return { recordUse: () => undefined, planExports: () => [], planChanges: () => [] };
}
