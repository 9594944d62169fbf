import { readMonotonicMs, runEvery } from '@laburnumshift/clock';
import type { EngineFailure, RunReport } from '@laburnumshift/types';
import { buildStatus } from './build-status.js';
import type { CellHome } from './cell-home.js';
import type { CellOptions } from './cell-options.js';
import type { CellState } from './cell-state.js';
import { CELL_TIMING } from './cell-timing.js';
import { createPlacementQueue } from './create-placement-queue.js';
import { recordEngineFailure } from './record-engine-failure.js';
import { listStoreViews } from './list-store-views.js';
import { observeRun } from './observe-run.js';
import { reconcilePool } from './reconcile-pool.js';
import { releaseRun } from './release-run.js';
import { applyStoreChanges } from './apply-store-changes.js';
import { scheduleExports } from './schedule-exports.js';

/**
 * Pause between two retention plans as a multiple of the time the last one took; bounds planning to 1% of a core. Planning
 * 50,000 stored pieces takes some 90 ms.
 */
const PLAN_INTERVAL_FACTOR = 100;

/**
 * Runs the home of a cell until it is closed. Correctness does not depend on there being only one home for a cell: two homes
 * make worse placement decisions, because each sees the other's grants only in the delayed load reports.
 */
export function manageCell(options: CellOptions): CellHome {
  const { directory, planner, logger } = options;
  const state: CellState = {
    options,
    pool: options.pool,
    engines: new Map(),
    stores: new Map(),
    lastUsableAtMs: readMonotonicMs(),
    decisionCount: 0,
    grantWaiting: () => undefined,
  };
  reconcilePool(state, options.pool, options.servers);
  const placements = createPlacementQueue(state);
  state.grantWaiting = placements.grantWaiting;
  const reportError = (error: unknown): void => {
    logger.error('periodic task of a cell failed', { reason: String(error) });
  };
  let planIntervalMs: number = CELL_TIMING.retentionPlanIntervalMs;
  const stopTimers = [
    runEvery(CELL_TIMING.expiryCheckIntervalMs, placements.expireWaiting, reportError),
    runEvery(
      () => planIntervalMs,
      async () => {
        const planMs = await applyStoreChanges(state);
        planIntervalMs = Math.max(CELL_TIMING.retentionPlanIntervalMs, planMs * PLAN_INTERVAL_FACTOR);
      },
      reportError,
    ),
  ];

  const reportRun = (report: RunReport): void => {
    const nowMs = readMonotonicMs();
    const released = releaseRun(state, report.requestId, report.engine);
    if (report.result === 'finished') {
      if (released !== undefined) observeRun(state, released.record, released.run, report, nowMs);
      directory.recordRunPieces(report.engine, report.cacheScope, report.pieces);
      planner.recordUse(report, nowMs);
      scheduleExports(state, planner.planExports(report, listStoreViews(state), directory, nowMs));
    }
    placements.grantWaiting();
  };
  const reportFailure = (failure: EngineFailure): void => {
    const record = state.engines.get(failure.engine);
    if (record === undefined) return;
    const isPrevious = failure.bootId !== undefined && record.previousBootIds.includes(failure.bootId);
    if (!isPrevious) recordEngineFailure(state, record, failure.crashed, readMonotonicMs());
  };

  return {
    place: placements.place,
    reportRun,
    reportFailure,
    setLeavingServers: (names) => {
      for (const [name, record] of state.engines) record.leavingByHostList = names.has(name);
    },
    updatePool: (pool, servers) => {
      reconcilePool(state, pool, servers);
      placements.grantWaiting();
    },
    getStatus: () => buildStatus(state, placements.getCounts()),
    close: () => {
      for (const stop of stopTimers) stop();
      placements.close();
      for (const record of [...state.engines.values(), ...state.stores.values()]) {
        record.abortController.abort();
        record.client.close();
      }
    },
  };
}
