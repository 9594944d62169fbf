/** Decides where prompt pieces are fetched from and stored. */
export { buildCacheScope } from './build-cache-scope.js';
export { computeCacheOwner } from './compute-cache-owner.js';
export { createPieceTransferPlanner } from './create-piece-transfer-planner.js';
export { getStoreId } from './get-store-id.js';
export type { PieceTransferPlannerOptions } from './piece-transfer-planner-options.js';
export { parseCacheScope } from './parse-cache-scope.js';
export type { PieceTransferPlanner } from './piece-transfer-planner.js';
