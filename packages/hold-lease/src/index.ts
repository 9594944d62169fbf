/** Leases with increasing fencing tokens, stored as platform objects. */
export { holdLease } from './hold-lease.js';
export type { LeaseDurations } from './lease-durations.js';
export type { LeaseOptions } from './lease-options.js';
export { DEFAULT_LEASE_DURATIONS } from './default-lease-durations.js';
export type { Lease } from './lease.js';
