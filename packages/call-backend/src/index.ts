/** HTTP client with a connection pool for backend servers. */
export type { BackendPool } from './backend-pool.js';
export { createBackendPool } from './create-backend-pool.js';
export type { SendFailure } from './send-failure.js';
export type { SendHandlers } from './send-handlers.js';
export type { OutgoingCall } from './outgoing-call.js';
