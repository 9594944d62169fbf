/** Client of the older serving system. */
export { createOlderSystemClient } from './create-older-system-client.js';
export type { OlderSystemClientOptions } from './older-system-client-options.js';
