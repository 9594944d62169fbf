import { BASELINE_POLICIES, placeRequest } from '@laburnumshift/place-request';
import type { PlacementPolicy } from '@laburnumshift/place-request';
import type { RetentionPlanner } from '@laburnumshift/types';
import type { Deployment } from './deployment.js';
import { RETENTION_PLANNERS } from './retention-planners.js';

/**
 * What is compared, by name: `own, planned` is our placement with our planner, every baseline of placement is paired with every
 * baseline of retention. All run behind the same admission queue.
 */
export const CANDIDATES: Readonly<
  Record<
    string,
    { readonly policy: PlacementPolicy; readonly createPlanner: (deployment: Deployment) => RetentionPlanner }
  >
> = {
  'own, planned': { policy: placeRequest, createPlanner: RETENTION_PLANNERS.planned },
  'own, keep-all-lru': { policy: placeRequest, createPlanner: RETENTION_PLANNERS['keep-all-lru'] },
  ...Object.fromEntries(
    Object.entries(BASELINE_POLICIES).flatMap(([name, policy]) => [
      [`${name}, keep-none`, { policy, createPlanner: RETENTION_PLANNERS['keep-none'] }],
      [`${name}, keep-all-lru`, { policy, createPlanner: RETENTION_PLANNERS['keep-all-lru'] }],
    ]),
  ),
};
