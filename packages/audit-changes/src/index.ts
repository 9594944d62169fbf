/** Keeps and lists the audit trail of changes. */
export { hasChange } from './has-change.js';
export { listChanges } from './list-changes.js';
export { recordChange } from './record-change.js';
