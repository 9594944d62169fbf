/**
 * Home of a cell of engines: tracks load and caches, queues requests, places them on engines and retains cached pieces in
 * stores.
 */
export type { CellHome } from './cell-home.js';
export type { CellMetrics } from './cell-metrics.js';
export type { CellOptions } from './cell-options.js';
export type { CellStatus } from './cell-status.js';
export { chooseCells } from './choose-cells.js';
export { createLocalPlacer } from './create-local-placer.js';
export type { LocalPlacer } from './local-placer.js';
export { manageCell } from './manage-cell.js';
export { MAX_CELL_ENGINES } from './max-cell-engines.js';
export { splitPool } from './split-pool.js';
