import type { FailureDetectorTiming } from './failure-detector-timing.js';

/**
 * Default timing. A failed member is declared dead at most 2.1 s after the failure: the sum of one period, a direct and an
 * indirect probe, the suspicion and one check.
 */
export const DEFAULT_DETECTOR_TIMING: FailureDetectorTiming = {
  probeIntervalMs: 500,
  directProbeTimeoutMs: 200,
  indirectProbeTimeoutMs: 250,
  suspicionTimeoutMs: 1000,
  suspicionCheckIntervalMs: 100,
  hostListIntervalMs: 5000,
};
