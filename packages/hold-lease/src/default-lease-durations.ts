/**
 * Default durations of a lease, milliseconds. The holder stops using the lease 7 s after it sent its last renewal. A challenger
 * waits 10 s by its own clock after it first saw that renewal. The 3 s between them absorb different clock rates.
 */
export const DEFAULT_LEASE_DURATIONS = {
  takeoverMs: 10_000,
  renewMs: 3000,
  holdMs: 7000,
  pollMs: 500,
} as const;
