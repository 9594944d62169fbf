import type { PlacementPolicy } from '@laburnumshift/place-request';
import type { RetentionPlannerOptions } from '@laburnumshift/plan-retention';
import type { RetentionPlanner } from '@laburnumshift/types';

/** Replacements for the decision functions of a node, for measurements only. */
export interface NodeOptions {
  /** Places requests. Defaults to `placeRequest`. */
  readonly policy?: PlacementPolicy | undefined;
  /** Creates the retention planner of a cell. Defaults to `createRetentionPlanner`. */
  readonly createPlanner?: ((options: RetentionPlannerOptions) => RetentionPlanner) | undefined;
}
