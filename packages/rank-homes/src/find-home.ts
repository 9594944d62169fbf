import type { Member } from '@laburnumshift/types';
import { computeRendezvousWeight } from './compute-rendezvous-weight.js';

/**
 * Finds the member with the highest rendezvous weight for a key in linear time; the smaller host name wins a tie. Returns `undefined`
 * without members.
 */
export function findHome(key: string, members: readonly Member[]): Member | undefined {
  let home: Member | undefined;
  let highestWeight = -1;
  for (const member of members) {
    const weight = computeRendezvousWeight(key, member.host);
    if (
      weight > highestWeight ||
      (weight === highestWeight && home !== undefined && member.host < home.host)
    ) {
      home = member;
      highestWeight = weight;
    }
  }
  return home;
}
