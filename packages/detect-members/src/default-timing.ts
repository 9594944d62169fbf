import type { MemberTiming } from './member-timing.js';

/**
 * Default timing. A failed member is declared dead at most 2.1 s after the failure: the sum of one period, a direct and an
 * indirect probe, the suspicion and one check.
 */
export const DEFAULT_TIMING: MemberTiming = {
  periodMs: 500,
  directMs: 200,
  indirectMs: 250,
  suspectMs: 1000,
  tickMs: 100,
  hostsMs: 5000,
};
