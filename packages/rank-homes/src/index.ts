/** Rendezvous order of members for a key. */
export { computeWeight } from './compute-weight.js';
export { rankHomes } from './rank-homes.js';
