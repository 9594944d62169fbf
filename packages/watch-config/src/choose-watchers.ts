import { findFirstMembers } from '@laburnumshift/rank-homes';
import type { Member } from '@laburnumshift/types';

/** Watchers in each failure domain; the second one covers the time until a failed first one is replaced. */
const WATCHERS_PER_DOMAIN = 2;

/** Chooses the members that watch the platform for a failure domain. */
export function chooseWatchers(members: readonly Member[], failureDomain: string): readonly Member[] {
  const near = members.filter((member) => member.failureDomain === failureDomain);
  return findFirstMembers('config-watch', near, WATCHERS_PER_DOMAIN);
}
