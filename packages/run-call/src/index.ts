/** Runs one plain service call. */
export type { CallDependencies } from './call-dependencies.js';
export type { CallJob } from './call-job.js';
export { checkKey } from './check-key.js';
export { findOutcome } from './find-outcome.js';
export { runCall } from './run-call.js';
