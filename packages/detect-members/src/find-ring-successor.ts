import type { MemberEntry } from './member-entry.js';

/**
 * Finds the next member on the probe ring. Positions are hashes of host names, so neighbors on the ring are spread over failure
 * domains.
 *
 * @param position ring position of this node
 * @returns `undefined` when there is no other live member
 */
export function findRingSuccessor(position: number, live: readonly MemberEntry[]): MemberEntry | undefined {
  let next: MemberEntry | undefined;
  let first: MemberEntry | undefined;
  for (const member of live) {
    if (first === undefined || member.ringPosition < first.ringPosition) first = member;
    if (member.ringPosition > position && (next === undefined || member.ringPosition < next.ringPosition))
      next = member;
  }
  return next ?? first;
}
