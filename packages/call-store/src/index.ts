/** Client of a store host, and the HTTP connection pool that the client of an engine uses too. */
export { checkAnswer } from './check-answer.js';
export { createHttpPool } from './create-http-pool.js';
export { createStoreClient } from './create-store-client.js';
export type { HttpAnswer } from './http-answer.js';
export type { HttpPoolOptions } from './http-pool-options.js';
export type { HttpPool } from './http-pool.js';
export type { OpenRequest } from './open-request.js';
export type { StoreClientOptions } from './store-client-options.js';
export { toPeerError } from './to-peer-error.js';
