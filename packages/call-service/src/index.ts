/** Client of a plain service. */
export type { Connection } from './connection.js';
export { createConnection } from './create-connection.js';
export { createServiceClient } from './create-service-client.js';
export type { ServiceClientOptions } from './service-client-options.js';
