/** Rollout of weights by fenced orders. */
export { listOutdated } from './list-outdated.js';
export type { RollOptions } from './roll-options.js';
export { orderWeights } from './order-weights.js';
