/** Brings the newest configuration into force on a node. */
export type { ConfigWatch } from './config-watch.js';
export { watchConfig } from './watch-config.js';
export type { WatchConfigOptions } from './watch-config-options.js';
