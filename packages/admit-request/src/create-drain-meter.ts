import type { DrainMeter } from './drain-meter.js';

/** Older measurements lose half of their weight in this time. */
const HALF_LIFE_MS = 10_000;
/** Weight of the assumed rate, as if it had been measured for this long. */
const PRIOR_MS = 2000;
const MS_PER_S = 1000;

/** Creates a meter that starts from an assumed rate. */
export function createDrainMeter(tokensPerSecond: number): DrainMeter {
  let busyMs = PRIOR_MS;
  let tokens = (tokensPerSecond / MS_PER_S) * PRIOR_MS;
  let busySinceMs: number | undefined;
  const updateTo = (nowMs: number): void => {
    if (busySinceMs === undefined) return;
    const elapsedMs = Math.max(0, nowMs - busySinceMs);
    const kept = 0.5 ** (elapsedMs / HALF_LIFE_MS);
    busyMs = busyMs * kept + elapsedMs;
    tokens *= kept;
    busySinceMs = nowMs;
  };
  return {
    setBusy: (busy, nowMs) => {
      updateTo(nowMs);
      busySinceMs = busy ? nowMs : undefined;
    },
    addTokens: (count) => {
      tokens += count;
    },
    getRate: (nowMs) => {
      updateTo(nowMs);
      return Math.max(tokens, 1) / busyMs;
    },
  };
}
