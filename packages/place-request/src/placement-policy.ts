import type { PlacementDecision } from './placement-decision.js';
import type { PlacementInput } from './placement-input.js';

/** Chooses an engine and the pieces to import; returns `undefined` when no engine may run the request. */
export type PlacementPolicy = (input: PlacementInput) => PlacementDecision | undefined;
