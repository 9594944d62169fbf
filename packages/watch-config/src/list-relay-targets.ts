import type { Member } from '@laburnumshift/types';
import { chooseWatchers } from './choose-watchers.js';

/**
 * Lists the members to which a node relays a new head: its own failure domain and the watchers of the others, so that a
 * domain that cannot reach the platform still hears of it. Watchers relay whatever is new to them. Other nodes relay only
 * what they read from the platform themselves, which happens when no watcher could tell them.
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
