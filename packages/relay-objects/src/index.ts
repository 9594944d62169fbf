/** Reads platform objects through another host. */
export { createRelayedSource } from './create-relayed-source.js';
export type { RelayedOptions } from './relayed-options.js';
export type { RelayedSource } from './relayed-source.js';
