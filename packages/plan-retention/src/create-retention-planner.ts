import type { RetentionPlanner } from '@laburnumshift/types';
import { ChangeDraft } from './change-draft.js';
import { PendingExports } from './pending-exports.js';
import { planExports } from './plan-exports.js';
import { planPrefetch } from './plan-prefetch.js';
import { planPressure } from './plan-pressure.js';
import { planQuotas } from './plan-quotas.js';
import type { PlannerState } from './planner-state.js';
import { rankStored } from './rank-stored.js';
import type { RetentionPlannerOptions } from './retention-planner-options.js';
import { UseHistory } from './use-history.js';

const MAX_PIECES = 200_000;

/**
 * Creates the planner that keeps pieces by expected value: the chance of return, learned for each service from the gaps that were
 * seen, times what an import saves, against the bytes and the time for which they take room.
 */
export function createRetentionPlanner(options: RetentionPlannerOptions): RetentionPlanner {
  const state: PlannerState = {
    options,
    history: new UseHistory(options.pieceTokens, options.maxPieces ?? MAX_PIECES),
    pending: new PendingExports(),
    tierFloors: new Map(),
    accountFloors: new Map(),
    accountBytes: new Map(),
  };
  return {
    recordUse: (report, atMs) => {
      if (report.result !== 'failed') state.history.recordUse(report, atMs);
    },
    planExports: (report, stores, directory, atMs) =>
      report.result === 'failed' ? [] : planExports(state, report, stores, directory, atMs),
    planChanges: (stores, directory, atMs) => {
      const living = stores.filter((store) => store.alive && store.stat !== undefined);
      const ranked = rankStored(state, living, directory, atMs);
      const draft = new ChangeDraft(living);
      planQuotas(state, ranked, draft);
      for (const store of living) {
        planPressure(state, store, ranked, draft);
        planPrefetch(state, store, ranked, draft, atMs);
      }
      return draft.changes;
    },
  };
}
