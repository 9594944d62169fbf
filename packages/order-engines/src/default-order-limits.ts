import type { OrderLimits } from './order-limits.js';

/** Limits that fit the 0.5 s cold start of the engines and the 3 s between a lost lease and the next holder. */
export const DEFAULT_ORDER_LIMITS: OrderLimits = {
  periodMs: 500,
  idleReads: 16,
  maxLoading: 2,
  loadsPerSecond: 1,
  keepShare: 0.5,
  warmMs: 3000,
  deadlineMs: 1500,
  reportLagMs: 1000,
  backoffMs: 1000,
  maxBackoffMs: 30_000,
};
