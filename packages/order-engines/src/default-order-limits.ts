import type { OrderLimits } from './order-limits.js';

/**
 * Default limits. They assume that an engine cold start takes 0.5 s and that 3 s pass between the loss of a lease and its next
 * holder.
 */
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
