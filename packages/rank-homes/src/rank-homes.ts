import type { Member } from '@laburnumshift/types';
import { computeWeight } from './compute-weight.js';

/**
 * Orders members for a key by rendezvous hashing: a member that leaves moves only the keys that it had.
 *
 * @param failureDomain members of this failure domain go first when given
 * @returns all members, the home first
 */
export function rankHomes(key: string, members: readonly Member[], failureDomain?: string): Member[] {
  return members
    .map((member) => ({
      member,
      near: failureDomain !== undefined && member.failureDomain === failureDomain,
      weight: computeWeight(key, member.host),
    }))
    .sort(
      (a, b) =>
        Number(b.near) - Number(a.near) || b.weight - a.weight || (a.member.host < b.member.host ? -1 : 1),
    )
    .map((ranked) => ranked.member);
}
