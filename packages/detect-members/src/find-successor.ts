import type { KnownMember } from './known-member.js';

/** Finds the next member on the probe ring; the ring order is a hash, so neighbours are spread over failure domains. */
export function findSuccessor(weight: number, live: readonly KnownMember[]): KnownMember | undefined {
  let next: KnownMember | undefined;
  let first: KnownMember | undefined;
  for (const member of live) {
    if (first === undefined || member.weight < first.weight) first = member;
    if (member.weight > weight && (next === undefined || member.weight < next.weight)) next = member;
  }
  return next ?? first;
}
