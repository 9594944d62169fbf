/** HTTP server for operators with endpoints for status, explain, outcome, metrics, health and drain. */
export type { OperatorHandlers } from './operator-handlers.js';
export type { OperatorServer } from './operator-server.js';
export { serveOperators } from './serve-operators.js';
export type { ServeOperatorsOptions } from './serve-operators-options.js';
