import type { RolloutLimits } from './rollout-limits.js';

/**
 * Default limits. They assume that an engine cold start takes 0.5 s and that 3 s pass between the loss of a lease and its next
 * holder.
 */
export const DEFAULT_ROLLOUT_LIMITS: RolloutLimits = {
  pollIntervalMs: 500,
  enginesPerIdlePoll: 16,
  maxConcurrentLoads: 2,
  weightLoadsPerSecond: 1,
  minInServiceShare: 0.5,
  warmUpMs: 3000,
  deadlineMs: 1500,
  maxReportLagMs: 1000,
  initialBackoffMs: 1000,
  maxBackoffMs: 30_000,
};
