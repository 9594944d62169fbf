import type { PendingExports } from './pending-exports.js';
import type { RetentionPlannerOptions } from './retention-planner-options.js';
import type { PieceUseHistory } from './piece-use-history.js';

/** State of the planner between calls. */
export interface PlannerState {
  readonly options: RetentionPlannerOptions;
  readonly history: PieceUseHistory;
  readonly pendingExports: PendingExports;
  /** Density that a piece must exceed to be added to a tier above the eviction level, by `STORE/TIER`. */
  readonly minTierDensities: Map<string, number>;
  /** Density that a piece of an account near its quota must exceed, by account. */
  readonly minAccountDensities: Map<string, number>;
  /** Stored bytes by account, as of the last call of `planChanges`. */
  readonly accountBytes: Map<string, number>;
}
