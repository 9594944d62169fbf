/** Directory of cached pieces from the events of engines. */
export type { EventsOptions } from './events-options.js';
export type { EventsReader } from './events-reader.js';
export { readCacheEvents } from './read-cache-events.js';
