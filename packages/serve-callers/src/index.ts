/** HTTP server for callers. */
export { authenticateAccount } from './authenticate-account.js';
export type { AuthenticatedCall } from './authenticated-call.js';
export type { AuthenticatedCompletion } from './authenticated-completion.js';
export type { CallerHandlers } from './caller-handlers.js';
export type { CallerServerOptions } from './caller-server-options.js';
export type { CallerServer } from './caller-server.js';
export { startCallerServer } from './start-caller-server.js';
