import type { RetentionPlanner } from '@laburnumshift/types';

/** Creates the baseline that keeps nothing in stores. */
export function createKeepNonePlanner(): RetentionPlanner {
  return { recordUse: () => undefined, planExports: () => [], planChanges: () => [] };
}
