import type { EngineState } from './engine-state.js';
import type { PlacementInput } from './placement-input.js';

/** Tells whether an engine may run the request at all. Every policy, baselines included, keeps these rules. */
export function isEligible(
  engine: EngineState,
  input: Pick<PlacementInput, 'exclude' | 'suspect' | 'weightVersion'>,
): boolean {
  return (
    engine.usable &&
    !(input.suspect && engine.suspects > 0) &&
    (input.weightVersion === undefined || input.weightVersion === engine.weightVersion) &&
    !input.exclude.includes(engine.name)
  );
}
