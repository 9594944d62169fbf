import type { EngineState } from './engine-state.js';
import type { PlacementInput } from './placement-input.js';

/** Tells whether an engine is permitted to run the request. Every policy, baselines included, applies these rules. */
export function isEligible(
  engine: EngineState,
  input: Pick<PlacementInput, 'exclude' | 'suspect' | 'weightVersion'>,
): boolean {
  return (
    engine.usable &&
    !(input.suspect && engine.suspectsInFlight > 0) &&
    (input.weightVersion === undefined || input.weightVersion === engine.weightVersion) &&
    !input.exclude.includes(engine.name)
  );
}
