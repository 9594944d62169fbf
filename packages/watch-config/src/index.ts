/** Keeps the configuration of a node up to date. */
export type { ConfigWatch } from './config-watch.js';
export { watchConfig } from './watch-config.js';
export type { WatchConfigOptions } from './watch-config-options.js';
