/** Placement decision, and baseline policies for comparison. */
export { BASELINE_POLICIES } from './baseline-policies.js';
export { computeInFlightLimit } from './compute-in-flight-limit.js';
export { createPrefillBacklog } from './create-prefill-backlog.js';
export type { EngineState } from './engine-state.js';
export { isEligible } from './is-eligible.js';
export type { PieceSource } from './piece-source.js';
export { placeRequest } from './place-request.js';
export type { PlacementDecision } from './placement-decision.js';
export type { PlacementInput } from './placement-input.js';
export type { PlacementPolicy } from './placement-policy.js';
export type { PrefillBacklog } from './prefill-backlog.js';
export type { PromptCache } from './prompt-cache.js';
