/**
 * Home of a cell of engines: tracks load and caches, queues requests, places them on engines and retains cached pieces in
 * stores.
 */
export type { CellHome } from './cell-home.js';
export type { CellMetrics } from './cell-metrics.js';
export type { CellOptions } from './cell-options.js';
export type { CellStatus } from './cell-status.js';
export { chooseCandidateCells } from './choose-candidate-cells.js';
export { createLocalPlacer } from './create-local-placer.js';
export type { LocalPlacer } from './local-placer.js';
export { manageCell } from './manage-cell.js';
export { MAX_ENGINES_PER_CELL } from './max-engines-per-cell.js';
export { splitPoolIntoCells } from './split-pool-into-cells.js';
