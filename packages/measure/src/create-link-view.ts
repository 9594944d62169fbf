import type { LinkView } from './link-view.js';

/** The same rule and constants as the home of a cell uses (manage-cell, observe-run). */
const MIN_SCALE = 0.02;
const GAIN = 0.2;
const RECOVERY_PER_S = 0.02;
const MS_PER_S = 1000;

/** Creates the belief that a link runs at its stated rate. */
export function createLinkView(): LinkView {
  let scale = 1;
  let atMs = 0;
  const getRateScale = (nowMs: number): number =>
    1 - (1 - scale) * (1 - RECOVERY_PER_S) ** ((nowMs - atMs) / MS_PER_S);
  return {
    getRateScale,
    observeTransfer: (plannedMs, tookMs, nowMs) => {
      const current = getRateScale(nowMs);
      const observed = Math.min(Math.max((current * plannedMs) / Math.max(tookMs, 1), MIN_SCALE), 1);
      scale = observed < current ? observed : current + GAIN * (observed - current);
      atMs = nowMs;
    },
  };
}
