import type { RetentionPlanner } from '@laburnumshift/types';
import { StoreChangePlan } from './store-change-plan.js';
import { PendingExports } from './pending-exports.js';
import { planExports } from './plan-exports.js';
import { planPrefetch } from './plan-prefetch.js';
import { planEviction } from './plan-eviction.js';
import { planQuotas } from './plan-quotas.js';
import type { PlannerState } from './planner-state.js';
import { rankStoredPieces } from './rank-stored-pieces.js';
import type { RetentionPlannerOptions } from './retention-planner-options.js';
import { PieceUseHistory } from './piece-use-history.js';

const DEFAULT_MAX_TRACKED_PIECES = 200_000;

/**
 * Creates the planner that keeps the pieces with the highest expected value per byte and second of storage. The
 * expected value is the probability of reuse, estimated for each service from past gaps between uses, times what an
 * import saves against recomputation.
 */
export function createRetentionPlanner(options: RetentionPlannerOptions): RetentionPlanner {
  const state: PlannerState = {
    options,
    history: new PieceUseHistory(options.pieceTokens, options.maxTrackedPieces ?? DEFAULT_MAX_TRACKED_PIECES),
    pendingExports: new PendingExports(),
    minTierDensities: new Map(),
    minAccountDensities: new Map(),
    accountBytes: new Map(),
  };
  return {
    recordUse: (report, atMs) => {
      if (report.result !== 'failed') state.history.recordUse(report, atMs);
    },
    planExports: (report, stores, directory, atMs) =>
      report.result === 'failed' ? [] : planExports(state, report, stores, directory, atMs),
    planChanges: (stores, directory, atMs) => {
      const liveStores = stores.filter((store) => store.alive && store.stat !== undefined);
      const ranked = rankStoredPieces(state, liveStores, directory, atMs);
      const plan = new StoreChangePlan(liveStores);
      planQuotas(state, ranked, plan);
      for (const store of liveStores) {
        planEviction(state, store, ranked, plan);
        planPrefetch(state, store, ranked, plan, atMs);
      }
      return plan.changes;
    },
  };
}
