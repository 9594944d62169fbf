import { hashName } from './hash-name.js';

/**
 * Computes the rendezvous weight of a member for a key, an integer from 0 to 2^32 - 1. The hashes of both names are cached, and the pair is
 * mixed with the finalizer of MurmurHash3, so ranking hundreds of members takes microseconds.
 */
export function computeRendezvousWeight(key: string, name: string): number {
  let hash = hashName(key) ^ Math.imul(hashName(name), 0x9e3779b1);
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
