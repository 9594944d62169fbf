/** Runs one node in the current process. The daemon calls this package. */
export type { NodeOptions } from './node-options.js';
export { runNode } from './run-node.js';
export type { RunningNode } from './running-node.js';
