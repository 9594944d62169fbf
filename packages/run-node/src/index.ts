/** One node as a library: all parts wired together. The daemon is a thin shell over it. */
export { runNode } from './run-node.js';
export type { RunningNode } from './running-node.js';
