/** Client of the platform object API. */
export { createPlatformClient } from './create-platform-client.js';
export type { PlatformClientOptions } from './platform-client-options.js';
