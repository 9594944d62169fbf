/**
 * Times of a lease, milliseconds. The holder stops 7 s after the time before its last renewal was sent; a challenger
 * waits 10 s after it saw that renewal, by its own clock. The 3 s between them absorb different clock rates.
 */
export const LEASE_TIMES = { challengeMs: 10_000, renewMs: 3000, holdMs: 7000, pollMs: 500 } as const;
