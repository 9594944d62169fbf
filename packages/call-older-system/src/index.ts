/** Client of the older system, which serves part of the traffic during the cutover. */
export { createOlderSystemClient } from './create-older-system-client.js';
export type { OlderSystemClientOptions } from './older-system-client-options.js';
