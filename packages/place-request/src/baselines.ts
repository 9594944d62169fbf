import { computeRendezvousWeight } from '@laburnumshift/rank-homes';
import { createBaseline } from './create-baseline.js';
import type { EngineState } from './engine-state.js';
import type { PlacementPolicy } from './placement-policy.js';

/** Baseline policies by name, behind the same interface as `placeRequest`. */
export const BASELINES: Readonly<
  Record<'round-robin' | 'least-loaded' | 'sticky' | 'prefix-aware', PlacementPolicy>
> = {
  'round-robin': createBaseline((engines, input) => engines[input.turn % engines.length]),
  'least-loaded': createBaseline((engines) => pickLowest(engines, (engine) => engine.running / engine.slots)),
  sticky: createBaseline((engines, input) =>
    pickLowest(engines, (engine) => -computeRendezvousWeight(input.stickyKey, engine.name)),
  ),
  // Without any cached piece the choice is by hash of the first piece, so that equal prompts meet.
  'prefix-aware': createBaseline((engines, input) =>
    pickLowest(engines, (engine) => {
      const prefix = input.caches.get(engine.weightVersion)?.prefix.get(engine.name) ?? 0;
      return -prefix - computeRendezvousWeight(input.pieces[0]?.chain ?? '', engine.name) / 2 ** 48;
    }),
  ),
};

function pickLowest(
  engines: readonly EngineState[],
  measure: (engine: EngineState) => number,
): EngineState | undefined {
  let best: EngineState | undefined;
  let lowest = Infinity;
  for (const engine of engines) {
    const value = measure(engine);
    if (value < lowest) {
      lowest = value;
      best = engine;
    }
  }
  return best;
}
