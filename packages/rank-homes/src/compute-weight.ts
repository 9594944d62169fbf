import { hashName } from './hash-name.js';

/**
 * Computes the rendezvous weight of a member for a key, 0 to 2^32 - 1. Both names are hashed once and remembered; the
 * pair is mixed with the finalizer of MurmurHash3, so that ranking hundreds of members takes microseconds.
 */
export function computeWeight(key: string, name: string): number {
  let mixed = hashName(key) ^ Math.imul(hashName(name), 0x9e3779b1);
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
