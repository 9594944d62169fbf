import type { PlacementWeights } from '@laburnumshift/types';
import { computeCongestion } from './compute-congestion.js';
import type { PlacementInput } from './placement-input.js';

const MS_TIMES_TOKENS_PER_S = 1_000_000;

/** Adds what a recomputation costs other requests, at the mean prefill rate, to the service's price for recomputed tokens. */
export function addCongestion(input: PlacementInput): PlacementWeights {
  const { engines, weights } = input;
  const rate =
    engines.reduce((sum, engine) => sum + engine.prefillTokensPerSecond, 0) / Math.max(engines.length, 1);
  const msPerKiloToken = MS_TIMES_TOKENS_PER_S / Math.max(rate, 1);
  const price = weights.perMs * msPerKiloToken * computeCongestion(engines);
  return { ...weights, perKiloTokenRecomputed: weights.perKiloTokenRecomputed + price };
}
