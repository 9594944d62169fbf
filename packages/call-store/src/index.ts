/** Client of a store host, and the HTTP connection pool that the client of an engine uses too. */
export { parseResponse } from './parse-response.js';
export { createHttpPool } from './create-http-pool.js';
export { createStoreClient } from './create-store-client.js';
export type { HttpResponse } from './http-response.js';
export type { HttpPoolOptions } from './http-pool-options.js';
export type { HttpPool } from './http-pool.js';
export type { HttpPoolRequest } from './http-pool-request.js';
export type { StoreClientOptions } from './store-client-options.js';
export { toPeerError } from './to-peer-error.js';
