/** Orders revisions of the platform's object store over its restores. */
export { createOrderedStore } from './create-ordered-store.js';
export { joinRevision } from './join-revision.js';
export type { ObjectStore } from './object-store.js';
export type { OrderedStore } from './ordered-store.js';
export { splitRevision } from './split-revision.js';
export type { StoreAnswer } from './store-answer.js';
export type { StoreEra } from './store-era.js';
export type { StoreRevision } from './store-revision.js';
