/** Client of a plain service instance, and the keep-alive connection that it uses. */
export type { Connection } from './connection.js';
export { createConnection } from './create-connection.js';
export { createServiceClient } from './create-service-client.js';
export type { ServiceClientOptions } from './service-client-options.js';
