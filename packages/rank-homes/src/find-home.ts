import type { Member } from '@laburnumshift/types';
import { computeWeight } from './compute-weight.js';

/** Finds the first member in rendezvous order for a key; `undefined` without members. Cheaper than a full ranking. */
export function findHome(key: string, members: readonly Member[]): Member | undefined {
  let home: Member | undefined;
  let highest = -1;
  for (const member of members) {
    const weight = computeWeight(key, member.host);
    if (weight > highest || (weight === highest && home !== undefined && member.host < home.host)) {
      home = member;
      highest = weight;
    }
  }
  return home;
}
