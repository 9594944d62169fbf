import { chooseRelays, type PeerHost } from '@laburnumshift/share-load';

const HOSTS = 470;
const DOMAINS = 9;

/** Builds the hosts of the target size and returns the home of one failure domain with all others. */
export function findHome(): { readonly home: PeerHost; readonly peers: readonly PeerHost[] } {
  const hosts = Array.from({ length: HOSTS }, (_, index): PeerHost => ({
    host: `host-${String(index)}`,
    failureDomain: `domain-${String(index % DOMAINS)}`,
    address: `10.0.${String(index >> 8)}.${String(index & 255)}:7361`,
    size: 1,
  }));
  for (const home of hosts) {
    const peers = hosts.filter(({ host }) => host !== home.host);
    const { isRelay, upstream } = chooseRelays(home, peers, () => false);
    if (isRelay && upstream === undefined) return { home, peers };
  }
  throw new Error('no host is a home');
}
