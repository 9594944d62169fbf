import type { STORE_POINTS } from './store-points.js';

/** Name of a point of the store protocol. */
export type StorePoint = (typeof STORE_POINTS)[number];
