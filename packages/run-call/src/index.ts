/** Runs one plain service call. */
export type { CallDependencies } from './call-dependencies.js';
export type { AcceptedCall } from './accepted-call.js';
export { checkIdempotencyKey } from './check-idempotency-key.js';
export { findOutcome } from './find-outcome.js';
export { runCall } from './run-call.js';
