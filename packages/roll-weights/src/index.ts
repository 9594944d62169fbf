/** Rolls out new weights to engines by orders with fencing tokens. */
export { listOutdatedEngines } from './list-outdated-engines.js';
export type { RolloutOptions } from './rollout-options.js';
export { orderWeights } from './order-weights.js';
