/** Reads platform objects through another host. */
export { createRelayedSource } from './create-relayed-source.js';
export type { RelayedSourceOptions } from './relayed-source-options.js';
export type { RelayedSource } from './relayed-source.js';
