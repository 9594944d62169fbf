import type { StoreState } from '@laburnumshift/types';
import type { CellState } from './cell-state.js';

/** Lists the stores of the cell with their last statistics, as input of the retention planner. */
export function listStoreViews(state: CellState): StoreState[] {
  return [...state.stores.values()].map((record) => ({
    host: record.host,
    stat: record.stat,
    alive: record.stat !== undefined && record.failures === 0,
  }));
}
