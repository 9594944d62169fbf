import type { StoreState } from '@laburnumshift/types';
import type { RetentionPlannerOptions } from './retention-planner-options.js';
import type { PieceUseHistory } from './piece-use-history.js';

/** Inputs of a piece's value other than its usage record. */
export interface ValueContext {
  readonly options: RetentionPlannerOptions;
  readonly history: PieceUseHistory;
  readonly store: StoreState;
  /** Current time, milliseconds. */
  readonly atMs: number;
}
