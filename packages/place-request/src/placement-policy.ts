import type { PlacementDecision } from './placement-decision.js';
import type { PlacementInput } from './placement-input.js';

/** Chooses an engine; `undefined` when no engine may run the request. */
export type PlacementPolicy = (input: PlacementInput) => PlacementDecision | undefined;
