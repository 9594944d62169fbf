import { readMonotonicMs, runEvery } from '@laburnumshift/clock';
import type { EngineFailure, RunReport } from '@laburnumshift/types';
import { buildStatus } from './build-status.js';
import type { CellHome } from './cell-home.js';
import type { CellOptions } from './cell-options.js';
import type { CellState } from './cell-state.js';
import { CELL_TIMES } from './cell-times.js';
import { createPlacementQueue } from './create-placement-queue.js';
import { failEngine } from './fail-engine.js';
import { listStoreViews } from './list-store-views.js';
import { observeRun } from './observe-run.js';
import { reconcilePool } from './reconcile-pool.js';
import { releaseRun } from './release-run.js';
import { runChanges } from './run-changes.js';
import { runExports } from './run-exports.js';

/** Planning of 50,000 stored pieces takes some 90 ms; this pause bounds it to 1% of a core. */
const PLAN_PAUSE_FACTOR = 100;

/**
 * Runs the home of a cell until it is closed. Two homes for one cell give worse decisions, because each sees the other's
 * grants only in the lagging load reports; nothing else depends on there being one.
 */
export function manageCell(options: CellOptions): CellHome {
  const { directory, planner, logger } = options;
  const state: CellState = {
    options,
    pool: options.pool,
    engines: new Map(),
    stores: new Map(),
    lastUsableAtMs: readMonotonicMs(),
    turn: 0,
    grantWaiting: () => undefined,
  };
  reconcilePool(state, options.pool, options.servers);
  const placements = createPlacementQueue(state);
  state.grantWaiting = placements.grantWaiting;
  const reportError = (error: unknown): void => {
    logger.error('cell task failed', { reason: String(error) });
  };
  let changesPauseMs: number = CELL_TIMES.changesEveryMs;
  const stops = [
    runEvery(CELL_TIMES.sweepEveryMs, placements.expireWaiting, reportError),
    runEvery(
      () => changesPauseMs,
      async () => {
        const planMs = await runChanges(state);
        changesPauseMs = Math.max(CELL_TIMES.changesEveryMs, planMs * PLAN_PAUSE_FACTOR);
      },
      reportError,
    ),
  ];

  const reportRun = (report: RunReport): void => {
    const nowMs = readMonotonicMs();
    const released = releaseRun(state, report.requestId, report.engine);
    if (report.result === 'finished') {
      if (released !== undefined) observeRun(state, released.record, released.run, report, nowMs);
      directory.recordRun(report.engine, report.cacheScope, report.pieces);
      planner.recordUse(report, nowMs);
      runExports(state, planner.planExports(report, listStoreViews(state), directory, nowMs));
    }
    placements.grantWaiting();
  };
  const reportFailure = (failure: EngineFailure): void => {
    const record = state.engines.get(failure.engine);
    if (record === undefined) return;
    const isPast = failure.bootId !== undefined && record.pastBootIds.includes(failure.bootId);
    if (!isPast) failEngine(state, record, failure.crashed, readMonotonicMs());
  };

  return {
    place: placements.place,
    reportRun,
    reportFailure,
    setLeaving: (names) => {
      for (const [name, record] of state.engines) record.leavingListed = names.has(name);
    },
    updatePool: (pool, servers) => {
      reconcilePool(state, pool, servers);
      placements.grantWaiting();
    },
    getStatus: () => buildStatus(state, placements.getCounts()),
    close: () => {
      for (const stop of stops) stop();
      placements.close();
      for (const record of [...state.engines.values(), ...state.stores.values()]) {
        record.stopper.abort();
        record.client.close();
      }
    },
  };
}
