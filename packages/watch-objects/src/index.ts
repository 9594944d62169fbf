/** Keeps copies of platform objects up to date by list and watch. */
export type { KindView } from './kind-view.js';
export { watchKind } from './watch-kind.js';
export type { WatchOptions } from './watch-options.js';
