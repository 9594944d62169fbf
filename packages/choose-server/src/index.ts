/** Choice of the backend server for a call. */
export type { ServerChoice } from './server-choice.js';
export type { ChoiceDeps } from './choice-deps.js';
export type { ChoiceTrace } from './choice-trace.js';
export { chooseServer } from './choose-server.js';
export { buildRefusal } from './build-refusal.js';
export type { RefusalCause } from './refusal-cause.js';
export type { RuledOutReason } from './ruled-out-reason.js';
export { RULED_OUT_REASONS } from './ruled-out-reasons.js';
export { REFUSAL_CAUSES } from './refusal-causes.js';
export { isUsableServer } from './is-usable-server.js';
