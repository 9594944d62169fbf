import test from 'ava';
import { decodeHostPeer } from '../src/decode-host-peer.js';
import { isLeaseCandidate } from '../src/is-lease-candidate.js';

const HOSTS = Array.from({ length: 40 }, (_, index) => ({ host: `h${String(index)}` }));
const isCandidate = (host: string): boolean =>
  isLeaseCandidate(
    'weights',
    host,
    HOSTS.filter((peer) => peer.host !== host),
  );

test('a few hosts ask for a free lease often, whatever the size of the fleet', (t) => {
  t.is(HOSTS.filter(({ host }) => isCandidate(host)).length, 6);
  t.true(isLeaseCandidate('weights', 'h1', HOSTS.slice(2, 5)));
});

test('a registration of another layout is no host', (t) => {
  const spec = { address: '10.0.0.1:7701', failureDomain: 'a', size: 0.5, bornMs: 4 };
  t.deepEqual(decodeHostPeer('h', spec), {
    host: 'h',
    address: '10.0.0.1:7701',
    failureDomain: 'a',
    size: 0.5,
  });
  for (const damaged of [
    null,
    'x',
    { ...spec, address: 'x' },
    { ...spec, size: -1 },
    { address: '10.0.0.1:1' },
  ])
    t.is(decodeHostPeer('h', damaged), undefined);
});
