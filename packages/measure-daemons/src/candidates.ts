import { BASELINE_POLICIES } from '@laburnumshift/place-request';
import { createKeepAllPlanner, createKeepNonePlanner } from '@laburnumshift/plan-retention';
import type { NodeOptions } from '@laburnumshift/run-node';

/**
 * What is compared, by name; `own` is the product. Placement baselines keep everything, as systems with these policies do;
 * retention baselines use the product's placement.
 */
export const CANDIDATES: Readonly<Record<string, NodeOptions>> = {
  own: {},
  'round-robin': { policy: BASELINE_POLICIES['round-robin'], createPlanner: createKeepAllPlanner },
  'least-loaded': { policy: BASELINE_POLICIES['least-loaded'], createPlanner: createKeepAllPlanner },
  sticky: { policy: BASELINE_POLICIES.sticky, createPlanner: createKeepAllPlanner },
  'prefix-aware': { policy: BASELINE_POLICIES['prefix-aware'], createPlanner: createKeepAllPlanner },
  'keep-none': { createPlanner: createKeepNonePlanner },
  'keep-all-lru': { createPlanner: createKeepAllPlanner },
};
