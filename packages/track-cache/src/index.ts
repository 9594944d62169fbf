/** Cache directory of a cell: which pieces are on which engines and in which stores. */
export type { CacheDirectoryOptions } from './cache-directory-options.js';
export { createCacheDirectory } from './create-cache-directory.js';
