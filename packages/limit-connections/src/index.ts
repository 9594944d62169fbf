/** Limits the connections and calls of callers to the descriptors and the memory of the machine. */
export { CLOSE_REASONS } from './close-reasons.js';
export type { ClientLimits } from './client-limits.js';
export { computeClientLimits } from './compute-client-limits.js';
export type { ConnectionGuard } from './connection-guard.js';
export { createConnectionGuard } from './create-connection-guard.js';
export type { GuardOptions } from './guard-options.js';
export type { TrackedConnection } from './tracked-connection.js';
