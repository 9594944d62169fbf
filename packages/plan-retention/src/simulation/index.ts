/** Simulation of retention planners on seeded traces of returning prompts. */
export { comparePlanners } from './compare-planners.js';
export { DEFAULT_SIMULATION } from './default-simulation.js';
export type { RetentionResult } from './retention-result.js';
export type { SimulationOptions } from './simulation-options.js';
export type { TraceService } from './trace-service.js';
