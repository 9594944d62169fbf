/** Keeps the directory of cached pieces up to date from the cache events of engines. */
export { applyChange } from './apply-change.js';
export type { EventsOptions } from './events-options.js';
export type { EventsReader } from './events-reader.js';
export { readCacheEvents } from './read-cache-events.js';
export type { ReadChange } from './read-change.js';
