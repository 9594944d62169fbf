/** Keeps the directory of cached pieces up to date from the cache events of engines. */
export { applyCacheChange } from './apply-cache-change.js';
export type { CacheEventReaderOptions } from './cache-event-reader-options.js';
export type { CacheEventReader } from './cache-event-reader.js';
export { readCacheEvents } from './read-cache-events.js';
export type { CacheChange } from './cache-change.js';
