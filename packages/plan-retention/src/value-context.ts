import type { StoreView } from '@laburnumshift/types';
import type { RetentionPlannerOptions } from './retention-planner-options.js';
import type { UseHistory } from './use-history.js';

/** What the value of a piece depends on. */
export interface ValueContext {
  readonly options: RetentionPlannerOptions;
  readonly history: UseHistory;
  readonly store: StoreView;
  readonly atMs: number;
}
