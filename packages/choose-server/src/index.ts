/** Choice of the backend server for a call. */
export type { ServerChoice } from './server-choice.js';
export type { ChoiceDeps } from './choice-deps.js';
export { chooseServer } from './choose-server.js';
export { buildRefusal } from './build-refusal.js';
export type { RefusalCause } from './refusal-cause.js';
export { REFUSAL_CAUSES } from './refusal-causes.js';
export { isUsableServer } from './is-usable-server.js';
