/** Measurement scenarios, baselines and the load tool. */
export { computeLowerBound } from './compute-lower-bound.js';
export { DEPLOYMENTS } from './deployments.js';
export { generateTrace } from './generate-trace.js';
export { measure } from './measure.js';
export type { MeasureResult } from './measure-result.js';
export { RETENTION_PLANNERS } from './retention-planners.js';
export { SCENARIOS } from './scenarios.js';
export { simulateCell } from './simulate-cell.js';
