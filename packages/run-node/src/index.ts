/** One node as a library: all parts wired together. The daemon is a thin shell over it. */
export type { NodeOptions } from './node-options.js';
export { runNode } from './run-node.js';
export type { RunningNode } from './running-node.js';
