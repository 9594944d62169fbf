import type { Membership } from '@laburnumshift/types';

/** True when the process that holds an attempt is gone: not among the live members, or replaced by a younger one. */
export function isNodeDead(
  membership: Pick<Membership, 'getSelf' | 'listLive'>,
  node: string,
  incarnation: number,
): boolean {
  const member = [membership.getSelf(), ...membership.listLive()].find((m) => m.host === node);
  return member === undefined || member.incarnation > incarnation;
}
