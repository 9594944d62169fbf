/** Placement and admission of forwarded calls. */
export type { Admission } from './admission.js';
export type { AdmissionInput } from './admission-input.js';
export { admitCall } from './admit-call.js';
export { chooseKeeper } from './choose-keeper.js';
export type { EngineCandidate } from './engine-candidate.js';
export { estimateHeldTokens } from './estimate-held-tokens.js';
export { estimateSlowdown } from './estimate-slowdown.js';
export type { FetchPlan } from './fetch-plan.js';
export type { KeeperCandidate } from './keeper-candidate.js';
export { pickCandidates } from './pick-candidates.js';
export { listRounds } from './list-rounds.js';
export { placeCall } from './place-call.js';
export type { PlaceInput } from './place-input.js';
export type { Placement } from './placement.js';
export { placePlainCall } from './place-plain-call.js';
export type { PlainCandidate } from './plain-candidate.js';
export type { Round } from './round.js';
export { planFetch } from './plan-fetch.js';
