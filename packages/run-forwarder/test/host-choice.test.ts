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

test('the number of lease candidates does not grow with the fleet', (t) => {
  t.is(HOSTS.filter(({ host }) => isCandidate(host)).length, 6);
  t.true(isLeaseCandidate('weights', 'h1', HOSTS.slice(2, 5)));
});

test('a malformed registration, or one of another layout, is not decoded as a host', (t) => {
  const spec = { address: '10.0.0.1:7701', failureDomain: 'a', size: 0.5, bornMs: 4 };
  t.deepEqual(decodeHostPeer('h', spec), {
    host: 'h',
    address: '10.0.0.1:7701',
    failureDomain: 'a',
    size: 0.5,
  });
  for (const malformed of [
    null,
    'x',
    { ...spec, address: 'x' },
    { ...spec, size: -1 },
    { address: '10.0.0.1:1' },
  ])
    t.is(decodeHostPeer('h', malformed), undefined);
});
