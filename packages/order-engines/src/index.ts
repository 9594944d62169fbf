/** Rolls out weights, adapters and roles to engines by orders with fencing numbers. */
export { orderEngines } from './order-engines.js';
export type { RolloutLimits } from './rollout-limits.js';
export type { OrderEnginesOptions } from './order-engines-options.js';
