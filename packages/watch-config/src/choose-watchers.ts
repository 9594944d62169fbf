import { findFirstMembers } from '@laburnumshift/rank-homes';
import type { Member } from '@laburnumshift/types';

/** Watchers in each failure domain. The second one covers the time until a failed one is replaced. */
const WATCHERS_PER_DOMAIN = 2;

/**
 * Chooses the members of a failure domain that watch the platform. All nodes with the same member list choose the same
 * ones.
 */
export function chooseWatchers(members: readonly Member[], failureDomain: string): readonly Member[] {
  const domainMembers = members.filter((member) => member.failureDomain === failureDomain);
  return findFirstMembers('config-watch', domainMembers, WATCHERS_PER_DOMAIN);
}
