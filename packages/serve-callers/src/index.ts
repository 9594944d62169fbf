/** HTTP server for callers. */
export { authenticateAccount } from './authenticate-account.js';
export type { CallerCall } from './caller-call.js';
export type { CallerCompletion } from './caller-completion.js';
export type { CallerHandlers } from './caller-handlers.js';
export type { CallerServerOptions } from './caller-server-options.js';
export type { CallerServer } from './caller-server.js';
export { serveCallers } from './serve-callers.js';
