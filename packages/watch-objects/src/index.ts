/** Keeps copies of platform objects up to date by list and watch. */
export type { ObjectCopy } from './object-copy.js';
export { watchKind } from './watch-kind.js';
export type { WatchOptions } from './watch-options.js';
