import type { Member } from '@laburnumshift/types';
import { findHome } from './find-home.js';

/**
 * Finds the first `count` members in rendezvous order for a key, or all of them if there are fewer. For a small count this costs less than
 * a full ranking.
 */
export function findFirstMembers(key: string, members: readonly Member[], count: number): Member[] {
  const homes: Member[] = [];
  let remainingMembers = members;
  while (homes.length < count) {
    const home = findHome(key, remainingMembers);
    if (home === undefined) return homes;
    homes.push(home);
    remainingMembers = remainingMembers.filter((member) => member !== home);
  }
  return homes;
}
