import type { Culprit } from './culprit.js';

/** Time from the second crash until a call is admitted to test the trait, milliseconds; shorter when other traits may be the cause. */
const FIRST_GAP_MS = 8000;
const FIRST_DOUBTFUL_GAP_MS = 1000;
/** Factor by which each further crash lengthens the time. */
const GAP_FACTOR = 6;
const FIRST_MOMENTS = 2;

/** Computes the time after a crash or a trial until one call may test whether a trait still crashes servers, milliseconds. */
export function computeTrialGap({ moments, isDoubtful }: Culprit): number {
  const firstGapMs = isDoubtful ? FIRST_DOUBTFUL_GAP_MS : FIRST_GAP_MS;
  return firstGapMs * GAP_FACTOR ** Math.max(0, moments - FIRST_MOMENTS);
}
