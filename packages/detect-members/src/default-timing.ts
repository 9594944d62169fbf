import type { MemberTiming } from './member-timing.js';

/**
 * Sums to at most 2.1 s from a failure to the declaration of death: one period, a direct and an indirect probe, the
 * suspicion and one check.
 */
export const DEFAULT_TIMING: MemberTiming = {
  periodMs: 500,
  directMs: 200,
  indirectMs: 250,
  suspectMs: 1000,
  tickMs: 100,
  hostsMs: 5000,
};
