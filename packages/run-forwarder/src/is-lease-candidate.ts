import { computeWeight } from '@laburnumshift/rank-homes';

/** Hosts that ask for a free lease often; the others do so at the idle pace, in case all of these are lost. */
const CANDIDATES = 6;

/** Whether a host is among the first in an order that is the same on all hosts. */
export function isLeaseCandidate(
  lease: string,
  host: string,
  peers: readonly { readonly host: string }[],
): boolean {
  const own = computeWeight(lease, host);
  return peers.filter((peer) => computeWeight(lease, peer.host) > own).length < CANDIDATES;
}
