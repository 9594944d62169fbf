import type { PlacementPolicy } from '@laburnumshift/place-request';
import type { RetentionPlannerOptions } from '@laburnumshift/plan-retention';
import type { RetentionPlanner } from '@laburnumshift/types';

/** Decision code that a measurement puts in place of the product's. */
export interface NodeOptions {
  /** `placeRequest` by default. */
  readonly policy?: PlacementPolicy | undefined;
  /** `createRetentionPlanner` by default. */
  readonly createPlanner?: ((options: RetentionPlannerOptions) => RetentionPlanner) | undefined;
}
