import type { Membership } from '@laburnumshift/types';

/**
 * True when the process that dispatched an attempt has ended: its host is not a live member, or has a later
 * incarnation.
 */
export function isNodeDead(
  membership: Pick<Membership, 'getSelf' | 'listLiveMembers'>,
  node: string,
  incarnation: number,
): boolean {
  const member = [membership.getSelf(), ...membership.listLiveMembers()].find((m) => m.host === node);
  return member === undefined || member.incarnation > incarnation;
}
