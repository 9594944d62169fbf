import type { TokenTimes } from './token-times.js';

/** Assumed time for an output token before the first run ended, milliseconds: the decode rate of a mid-size engine. */
const INITIAL_TOKEN_MS = 25;
/** Weight of the newest run in the moving average: about the last 30 runs count. */
const AVERAGE_WEIGHT = 0.03;
/** Bounds of the time for one token, milliseconds; estimates of the output are often far off. */
const MIN_TOKEN_MS = 1;
const MAX_TOKEN_MS = 500;
/** Most services that are recorded; further ones keep the assumed time. */
const MAX_SERVICES = 64;

/** Creates the table without observations. */
export function createTokenTimes(): TokenTimes {
  const times = new Map<string, number>();
  return {
    observeRun: (service, tokens, ms) => {
      if (!(tokens > 0) || !(ms >= 0) || (!times.has(service) && times.size >= MAX_SERVICES)) return;
      const observed = Math.min(MAX_TOKEN_MS, Math.max(MIN_TOKEN_MS, ms / tokens));
      const known = times.get(service) ?? INITIAL_TOKEN_MS;
      times.set(service, known + (observed - known) * AVERAGE_WEIGHT);
    },
    getTokenMs: (service) => times.get(service) ?? INITIAL_TOKEN_MS,
  };
}
