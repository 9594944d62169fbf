import type { StoreView } from '@laburnumshift/types';
import type { CellState } from './cell-state.js';

/** Lists the stores as the planner sees them. */
export function listStoreViews(state: CellState): StoreView[] {
  return [...state.stores.values()].map((record) => ({
    host: record.host,
    stat: record.stat,
    alive: record.stat !== undefined && record.failures === 0,
  }));
}
