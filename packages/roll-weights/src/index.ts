/** Rolls out new weights to engines by orders with fencing tokens. */
export { listOutdated } from './list-outdated.js';
export type { RollOptions } from './roll-options.js';
export { orderWeights } from './order-weights.js';
