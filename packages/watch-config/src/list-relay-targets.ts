import type { Member } from '@laburnumshift/types';
import { chooseWatchers } from './choose-watchers.js';

/**
 * Lists the members to which a node relays a new head: those of its own failure domain, and the watchers of the other
 * failure domains, so that a domain that cannot reach the platform still receives it. Watchers relay each new head.
 * Other nodes relay only heads that they read from the platform themselves, which happens when no watcher relayed them.
 *
 * @param source where this node received the head from
 */
export function listRelayTargets(
  self: Member,
  live: readonly Member[],
  source: 'platform' | 'peer',
): readonly Member[] {
  const isWatcher = chooseWatchers(live, self.failureDomain).some((member) => member.host === self.host);
  if (!isWatcher && source === 'peer') return [];
  const domains = new Set(live.map((member) => member.failureDomain));
  const targets = [...domains].flatMap((domain) =>
    domain === self.failureDomain
      ? live.filter((member) => member.failureDomain === domain)
      : chooseWatchers(live, domain),
  );
  return targets.filter((member) => member.host !== self.host);
}
