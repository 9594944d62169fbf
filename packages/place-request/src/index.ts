/** Placement decision, and baseline policies for comparison. */
export { BASELINES } from './baselines.js';
export { computeRoom } from './compute-room.js';
export { createPrefillBacklog } from './create-prefill-backlog.js';
export type { EngineState } from './engine-state.js';
export { isEligible } from './is-eligible.js';
export type { LinkState } from './link-state.js';
export { placeRequest } from './place-request.js';
export type { PlacementDecision } from './placement-decision.js';
export type { PlacementInput } from './placement-input.js';
export type { PlacementPolicy } from './placement-policy.js';
export type { PrefillBacklog } from './prefill-backlog.js';
export type { PromptCache } from './prompt-cache.js';
