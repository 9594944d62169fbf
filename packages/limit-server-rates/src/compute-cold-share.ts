import { chooseRelays, type PeerHost } from '@laburnumshift/share-load';
import type { ColdShare } from './cold-share.js';

/**
 * Parts of the greatest allowed rate for the first relays of all failure domains, for their second relays, and for all hosts that decide
 * alone. Each part is reserved, so hosts that are cut off and relays that replace others need no agreement.
 */
const PARTS = { first: 0.6, second: 0.25, alone: 0.15 };
/** Factor on the interval between calls where no slack makes up for calls that are not equally long on their way. */
const TRANSIT_FACTOR = 1.1;
const MS_PER_S = 1000;

const compareNames = (a: string, b: string): number => (a < b ? -1 : Number(a > b));

/**
 * Computes a host's part of the rate that a cold server sustains, from the registered hosts alone. It does not depend on who answers:
 * the parts of all hosts together stay below the bound also when hosts are cut off from each other.
 *
 * @param coldPerS rate that the server sustains; `over` and `slack` are the factor and the number of calls allowed beyond it
 */
export function computeColdShare(
  self: PeerHost,
  peers: readonly PeerHost[],
  { coldPerS, over, slack }: { readonly coldPerS: number; readonly over: number; readonly slack: number },
): ColdShare {
  const hosts = [self, ...peers];
  const domains = [...new Set(hosts.map(({ failureDomain }) => failureDomain))].sort(compareNames);
  const plan = chooseRelays(self, peers, () => false);
  const names = hosts.map(({ host }) => host).sort(compareNames);
  const ownName = { index: names.indexOf(self.host), count: names.length };
  const ownDomain = { index: domains.indexOf(self.failureDomain), count: domains.length };
  const maxPerS = coldPerS * over;
  const buildShare = (poolPerS: number, { index, count }: typeof ownName, isRounded: boolean): ColdShare => {
    const ratePerS = poolPerS / count;
    if (ratePerS < 1) {
      const periodMs = MS_PER_S / ratePerS;
      const lengthMs = periodMs / count;
      return { ratePerS, intervalMs: periodMs, slot: { offsetMs: index * lengthMs, lengthMs } };
    }
    // A rate of 4.2 allows five calls in some seconds, so the fraction is dropped without slack for it.
    const intervalMs = isRounded ? MS_PER_S / ratePerS : (MS_PER_S / Math.floor(ratePerS)) * TRANSIT_FACTOR;
    return { ratePerS: MS_PER_S / intervalMs, intervalMs };
  };
  if (!plan.isRelayed) return buildShare(Math.min(coldPerS, maxPerS), ownName, slack >= names.length);
  if (plan.upstream === undefined)
    return buildShare(Math.min(coldPerS, maxPerS * PARTS.first), ownDomain, slack >= domains.length);
  return plan.isRelay
    ? buildShare(maxPerS * PARTS.second, ownDomain, false)
    : buildShare(maxPerS * PARTS.alone, ownName, false);
}
