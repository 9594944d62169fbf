import { computeRendezvousWeight } from '@laburnumshift/rank-homes';
import type { PeerHost } from './peer-host.js';
import type { RelayPlan } from './relay-plan.js';

/** Maximum number of hosts that send their reports directly to each other: 16 times 15 datagrams per period cost less than relays. */
const MAX_DIRECT_HOSTS = 16;
/** Number of relays of each failure domain: one may fail without a gap in the reports. */
const RELAYS_PER_DOMAIN = 2;
const RANK_KEY = 'relay';

/**
 * Chooses the relays of each failure domain: the largest hosts, and among equal ones the first in rendezvous order. Hosts that know the
 * same peers choose the same relays. Where their choices differ, a host also relays for hosts that report to it although it did not
 * choose itself.
 *
 * @param peers all hosts but `self`
 * @param isSuspect whether a host does not answer and must not be chosen
 */
export function chooseRelays(
  self: PeerHost,
  peers: readonly PeerHost[],
  isSuspect: (host: string) => boolean,
): RelayPlan {
  if (peers.length < MAX_DIRECT_HOSTS)
    return {
      isRelayed: false,
      reportTo: peers,
      otherRelays: [],
      upstream: undefined,
      objectsUpstream: undefined,
      isRelay: false,
    };
  const rankedHosts = [self, ...peers.filter(({ host }) => !isSuspect(host))].sort(
    (a, b) =>
      b.size - a.size ||
      computeRendezvousWeight(RANK_KEY, b.host) - computeRendezvousWeight(RANK_KEY, a.host),
  );
  const listDomainRelays = (domain: string): PeerHost[] =>
    rankedHosts.filter(({ failureDomain }) => failureDomain === domain).slice(0, RELAYS_PER_DOMAIN);
  const ownRelays = listDomainRelays(self.failureDomain);
  const domains = new Set(rankedHosts.map(({ failureDomain }) => failureDomain));
  domains.delete(self.failureDomain);
  const getIfOther = (relay: PeerHost | undefined): PeerHost | undefined =>
    relay?.host === self.host ? undefined : relay;
  const upstream = getIfOther(ownRelays[0]);
  return {
    isRelayed: true,
    reportTo: ownRelays.filter(({ host }) => host !== self.host),
    otherRelays: [...domains].flatMap(listDomainRelays),
    upstream,
    // The first host of the whole ranking is also the first of its failure domain.
    objectsUpstream: upstream ?? getIfOther(rankedHosts[0]),
    isRelay: ownRelays.some(({ host }) => host === self.host),
  };
}
