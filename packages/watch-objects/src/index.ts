/** Keeps copies of platform objects up to date by list and watch. */
export type { ObjectCopy } from './object-copy.js';
export { watchKind } from './watch-kind.js';
export type { RestorePolicy } from './restore-policy.js';
export { RESTORED_STATES } from './restored-states.js';
export type { WatchOptions } from './watch-options.js';
