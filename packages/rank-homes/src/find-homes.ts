import type { Member } from '@laburnumshift/types';
import { findHome } from './find-home.js';

/** Finds the first members in rendezvous order for a key. Cheaper than a full ranking for a small count. */
export function findHomes(key: string, members: readonly Member[], count: number): Member[] {
  const homes: Member[] = [];
  let rest = members;
  while (homes.length < count) {
    const home = findHome(key, rest);
    if (home === undefined) return homes;
    homes.push(home);
    rest = rest.filter((member) => member !== home);
  }
  return homes;
}
