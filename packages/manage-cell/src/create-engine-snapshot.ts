import { isEligible } from '@laburnumshift/place-request';
import type { EnginePlacementRequest } from '@laburnumshift/types';
import { buildEngineState } from './build-engine-state.js';
import type { CellState } from './cell-state.js';
import type { EngineSnapshot } from './engine-snapshot.js';
import { hasAdapter } from './has-adapter.js';
import { hasFreeSlot } from './has-free-slot.js';

/** Creates a snapshot of all engines, so that many waiting requests are checked against the same state. */
export function createEngineSnapshot(state: CellState, nowMs: number): EngineSnapshot {
  const entries = [...state.engines.values()].map((record) => ({
    record,
    engine: buildEngineState(state, record, nowMs, 'bulk'),
  }));
  const usable = entries.filter(({ engine }) => engine.usable);
  const isSuspect = (request: EnginePlacementRequest): boolean =>
    request.suspect || state.options.isSuspect(request.fingerprint);
  const isInFlight = (fingerprint: string): boolean =>
    entries.some(({ record }) => [...record.running.values()].some((run) => run.fingerprint === fingerprint));
  return {
    usable: usable.length,
    slots: {
      free: usable.reduce((sum, { engine }) => sum + Math.max(0, engine.slots - engine.running), 0),
      reserved: usable.length * state.pool.urgentSlots,
    },
    canEverRun: (request) =>
      usable.some(
        ({ record, engine }) =>
          hasAdapter(record, request) && isEligible(engine, { ...request, suspect: false }),
      ),
    canRunNow: (request) => {
      const suspect = isSuspect(request);
      if (suspect && isInFlight(request.fingerprint)) return false;
      return usable.some(
        ({ record, engine }) =>
          hasFreeSlot(engine, request, state.pool) &&
          hasAdapter(record, request) &&
          isEligible(engine, { ...request, suspect }),
      );
    },
  };
}
