import type { Member } from '@laburnumshift/types';
import { computeRendezvousWeight } from './compute-rendezvous-weight.js';

/**
 * Orders members for a key by rendezvous hashing: when a member leaves, only the keys whose home it was get another home.
 *
 * @param failureDomain when given, members of this failure domain come before all others
 * @returns all members, the home first
 */
export function rankMembers(key: string, members: readonly Member[], failureDomain?: string): Member[] {
  return members
    .map((member) => ({
      member,
      isPreferred: failureDomain !== undefined && member.failureDomain === failureDomain,
      weight: computeRendezvousWeight(key, member.host),
    }))
    .sort(
      (a, b) =>
        Number(b.isPreferred) - Number(a.isPreferred) ||
        b.weight - a.weight ||
        (a.member.host < b.member.host ? -1 : 1),
    )
    .map((entry) => entry.member);
}
