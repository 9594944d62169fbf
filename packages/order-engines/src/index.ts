/** Rolls out weights, adapters and roles to engines by orders with fencing numbers. */
export { orderEngines } from './order-engines.js';
export type { OrderLimits } from './order-limits.js';
export type { OrderOptions } from './order-options.js';
