import { rankEngines } from './rank-engines.js';
import type { PlacementInput } from './placement-input.js';
import type { ScoredPlacement } from './scored-placement.js';

/**
 * Chooses the engine with the lowest expected delay; the first in rendezvous order among equal ones.
 *
 * @throws RangeError without candidates
 */
export function placeCall(input: PlacementInput): ScoredPlacement {
  const [first, ...others] = rankEngines(input);
  if (first === undefined) throw new RangeError('candidates must not be empty');
  return others.reduce((a, b) => (b.score < a.score ? b : a), first);
}
