/** Decides where prompt pieces are fetched from and stored. */
export { buildCacheScope } from './build-cache-scope.js';
export { createPieceKeeper } from './create-piece-keeper.js';
export { getStoreId } from './get-store-id.js';
export type { KeeperOptions } from './keeper-options.js';
export { parseCacheScope } from './parse-cache-scope.js';
export type { PieceKeeper } from './piece-keeper.js';
