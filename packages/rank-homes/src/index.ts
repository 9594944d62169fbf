/** Rendezvous hashing: the order of members for a key, and the home, which is the first of them. */
export { computeRendezvousWeight } from './compute-rendezvous-weight.js';
export { findHome } from './find-home.js';
export { findFirstMembers } from './find-first-members.js';
export { hashName } from './hash-name.js';
export { rankMembers } from './rank-members.js';
