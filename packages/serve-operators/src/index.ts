/** HTTP server for operators: status, explain, outcome, metrics, health. */
export type { OperatorHandlers } from './operator-handlers.js';
export type { OperatorServer } from './operator-server.js';
export { serveOperators } from './serve-operators.js';
export type { ServeOperatorsOptions } from './serve-operators-options.js';
