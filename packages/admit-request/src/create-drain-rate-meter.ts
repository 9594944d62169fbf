import type { DrainRateMeter } from './drain-rate-meter.js';

/** Time of backlog after which the weight of older measurements has halved. */
const HALF_LIFE_MS = 10_000;
/** Weight of the assumed rate: it counts as if it had been measured over this time. */
const PRIOR_WEIGHT_MS = 2000;
const MS_PER_S = 1000;

/** Creates a meter that starts from an assumed rate in tokens per second. */
export function createDrainRateMeter(tokensPerSecond: number): DrainRateMeter {
  let backloggedMs = PRIOR_WEIGHT_MS;
  let tokens = (tokensPerSecond / MS_PER_S) * PRIOR_WEIGHT_MS;
  let backloggedSinceMs: number | undefined;
  const updateTo = (nowMs: number): void => {
    if (backloggedSinceMs === undefined) return;
    const elapsedMs = Math.max(0, nowMs - backloggedSinceMs);
    const decay = 0.5 ** (elapsedMs / HALF_LIFE_MS);
    backloggedMs = backloggedMs * decay + elapsedMs;
    tokens *= decay;
    backloggedSinceMs = nowMs;
  };
  return {
    setBacklogged: (isBacklogged, nowMs) => {
      updateTo(nowMs);
      backloggedSinceMs = isBacklogged ? nowMs : undefined;
    },
    recordServedTokens: (count) => {
      tokens += count;
    },
    getTokensPerMs: (nowMs) => {
      updateTo(nowMs);
      return Math.max(tokens, 1) / backloggedMs;
    },
  };
}
