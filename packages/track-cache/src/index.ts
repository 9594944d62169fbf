/** Cache directory of a cell. */
export type { CacheDirectoryOptions } from './cache-directory-options.js';
export { createCacheDirectory } from './create-cache-directory.js';
