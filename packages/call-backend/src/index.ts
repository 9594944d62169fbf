/** HTTP client with a connection pool for backend servers. */
export type { BackendPool } from './backend-pool.js';
export { createBackendPool } from './create-backend-pool.js';
export type { SendFault } from './send-fault.js';
export type { SendHandlers } from './send-handlers.js';
export type { SentCall } from './sent-call.js';
