/** Writes and lists the audit records of changes by operators. */
export { hasChange } from './has-change.js';
export { listChanges } from './list-changes.js';
export { recordChange } from './record-change.js';
