import type { PlacementWeights } from '@laburnumshift/types';
import { computeCongestionFactor } from './compute-congestion-factor.js';
import type { PlacementInput } from './placement-input.js';

const MS_PER_S_TIMES_TOKENS_PER_KILO = 1_000_000;

/**
 * Raises the service's price for recomputed tokens by the waiting that a recomputation causes for other requests, at the mean
 * prefill rate of the engines.
 */
export function addCongestionPrice(input: PlacementInput): PlacementWeights {
  const { engines, weights } = input;
  const meanTokensPerSecond =
    engines.reduce((sum, engine) => sum + engine.prefillTokensPerSecond, 0) / Math.max(engines.length, 1);
  const msPerKiloToken = MS_PER_S_TIMES_TOKENS_PER_KILO / Math.max(meanTokensPerSecond, 1);
  const congestionPrice = weights.perMs * msPerKiloToken * computeCongestionFactor(engines);
  return { ...weights, perKiloTokenRecomputed: weights.perKiloTokenRecomputed + congestionPrice };
}
