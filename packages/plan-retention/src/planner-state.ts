import type { PendingExports } from './pending-exports.js';
import type { RetentionPlannerOptions } from './retention-planner-options.js';
import type { UseHistory } from './use-history.js';

/** What the planner keeps between calls. */
export interface PlannerState {
  readonly options: RetentionPlannerOptions;
  readonly history: UseHistory;
  readonly pending: PendingExports;
  /** Density that a piece must exceed to enter a tier under pressure, by `STORE/TIER`. */
  readonly tierFloors: Map<string, number>;
  /** The same for an account close to its quota. */
  readonly accountFloors: Map<string, number>;
  /** Bytes that accounts keep in stores, as of the last look at all stores. */
  readonly accountBytes: Map<string, number>;
}
