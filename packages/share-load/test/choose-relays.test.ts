import test from 'ava';
import { chooseRelays } from '../src/choose-relays.js';
import type { PeerHost } from '../src/peer-host.js';

const createHosts = (count: number, domains: readonly string[]): PeerHost[] =>
  Array.from({ length: count }, (_, index) => ({
    host: `h${String(index)}`,
    failureDomain: domains[index % domains.length] ?? '',
    address: `10.0.0.${String(index)}:1`,
    size: index % 5,
  }));
const planFor = (hosts: readonly PeerHost[], self: PeerHost, suspects: readonly string[] = []) =>
  chooseRelays(
    self,
    hosts.filter((host) => host !== self),
    (host) => suspects.includes(host),
  );
const listNames = (peers: readonly PeerHost[]): string[] => peers.map(({ host }) => host);

test('hosts of a small fleet report directly to all others', (t) => {
  const hosts = createHosts(16, ['a', 'b']);
  for (const self of hosts) {
    const plan = planFor(hosts, self);
    t.false(plan.isRelayed);
    t.is(plan.reportTo.length, 15);
    t.is(plan.upstream, undefined);
  }
});

test('all hosts of a large fleet choose the same two relays of their domain, from its largest hosts', (t) => {
  const hosts = createHosts(60, ['a', 'b', 'c', 'd']);
  for (const self of hosts) {
    const domainHosts = hosts.filter(({ failureDomain }) => failureDomain === self.failureDomain);
    const plan = planFor(hosts, self);
    const relays = domainHosts.filter((host) => listNames(planFor(hosts, host).reportTo).length === 1);
    t.is(relays.length, 2);
    t.deepEqual(listNames(plan.reportTo).sort(), listNames(relays.filter((relay) => relay !== self)).sort());
    t.true(relays.every(({ size }) => size === 4));
    t.is(plan.otherRelays.length, 6);
  }
});

test('one host of each domain follows no relay, and when it fails another host takes its place', (t) => {
  const hosts = createHosts(40, ['a', 'b']);
  const firstRelays = hosts.filter((self) => planFor(hosts, self).upstream === undefined);
  t.deepEqual(firstRelays.map(({ failureDomain }) => failureDomain).sort(), ['a', 'b']);
  const failedHosts = listNames(firstRelays);
  const nextFirstRelays = hosts.filter(
    (self) => !failedHosts.includes(self.host) && planFor(hosts, self, failedHosts).upstream === undefined,
  );
  t.deepEqual(nextFirstRelays.map(({ failureDomain }) => failureDomain).sort(), ['a', 'b']);
});
