/** Rendezvous hashing: the order of members for a key, and the home, which is the first of them. */
export { computeWeight } from './compute-weight.js';
export { findHome } from './find-home.js';
export { findHomes } from './find-homes.js';
export { hashName } from './hash-name.js';
export { rankHomes } from './rank-homes.js';
