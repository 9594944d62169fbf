/** Estimated cost of calls. */
export { createCostEstimator } from './create-cost-estimator.js';
export type { CallTiming } from './call-timing.js';
export { computeServiceMs } from './compute-service-ms.js';
export type { CostEstimator } from './cost-estimator.js';
export type { PlainCallKind } from './plain-call-kind.js';
