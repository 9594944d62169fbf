import { computeRendezvousWeight } from '@laburnumshift/rank-homes';
import { createBaselinePolicy } from './create-baseline-policy.js';
import type { EngineState } from './engine-state.js';
import type { PlacementPolicy } from './placement-policy.js';

/** Baseline policies by name, with the signature of `placeRequest`. */
export const BASELINE_POLICIES: Readonly<
  Record<'round-robin' | 'least-loaded' | 'sticky' | 'prefix-aware', PlacementPolicy>
> = {
  'round-robin': createBaselinePolicy((engines, input) => engines[input.decisionCount % engines.length]),
  'least-loaded': createBaselinePolicy((engines) =>
    pickLowestScore(engines, (engine) => engine.running / engine.slots),
  ),
  sticky: createBaselinePolicy((engines, input) =>
    pickLowestScore(engines, (engine) => -computeRendezvousWeight(input.affinityKey, engine.name)),
  ),
  // When no engine has a cached piece, the hash of the first piece decides, so that equal prompts go to the same engine.
  'prefix-aware': createBaselinePolicy((engines, input) =>
    pickLowestScore(engines, (engine) => {
      const prefix = input.caches.get(engine.weightVersion)?.prefix.get(engine.name) ?? 0;
      return -prefix - computeRendezvousWeight(input.pieces[0]?.chain ?? '', engine.name) / 2 ** 48;
    }),
  ),
};

function pickLowestScore(
  engines: readonly EngineState[],
  computeScore: (engine: EngineState) => number,
): EngineState | undefined {
  let best: EngineState | undefined;
  let lowestScore = Infinity;
  for (const engine of engines) {
    const score = computeScore(engine);
    if (score < lowestScore) {
      lowestScore = score;
      best = engine;
    }
  }
  return best;
}
