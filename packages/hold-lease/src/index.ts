/** Leases with increasing fencing tokens, stored as platform objects. */
export { holdLease } from './hold-lease.js';
export type { LeaseDurations } from './lease-durations.js';
export type { LeaseOptions } from './lease-options.js';
export { LEASE_TIMES } from './lease-times.js';
export type { Lease } from './lease.js';
