import type { Member, Membership } from '@laburnumshift/types';

/** Builds a membership that never changes; the node itself is the first member. */
export function buildMembership(members: readonly Member[]): Membership {
  const self = members[0];
  if (self === undefined) throw new Error('a membership needs a member');
  return {
    getSelf: () => self,
    listLiveMembers: () => members,
    onChange: () => () => undefined,
    leave: () => Promise.resolve(),
    close: () => undefined,
  };
}
