import { computeRendezvousWeight } from '@laburnumshift/rank-homes';

/** Number of hosts that poll a free lease often. The others poll it rarely, in case all of these are lost. */
const MAX_CANDIDATES = 6;

/** Returns true when a host is among the first in an order that is the same on all hosts. */
export function isLeaseCandidate(
  lease: string,
  host: string,
  peers: readonly { readonly host: string }[],
): boolean {
  const own = computeRendezvousWeight(lease, host);
  return peers.filter((peer) => computeRendezvousWeight(lease, peer.host) > own).length < MAX_CANDIDATES;
}
