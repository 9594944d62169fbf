/** Rollouts of weights, adapters and roles by fenced orders. */
export { orderEngines } from './order-engines.js';
export type { OrderLimits } from './order-limits.js';
export type { OrderOptions } from './order-options.js';
