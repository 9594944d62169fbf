import test from 'ava';
import type { Member } from '@laburnumshift/types';
import { findHome, rankMembers } from '@laburnumshift/rank-homes';

const members: Member[] = Array.from({ length: 9 }, (_, i) => ({
  host: `node-${String(i)}`,
  incarnation: 1,
  failureDomain: `domain-${String(i % 3)}`,
  address: `127.0.0.1:${String(7000 + i)}`,
}));

test('when a member leaves, no key moves between the remaining members', (t) => {
  for (let i = 0; i < 200; i += 1) {
    const key = `key-${String(i)}`;
    const before = rankMembers(key, members)[0];
    const after = rankMembers(key, members.slice(1))[0];
    if (before?.host !== 'node-0') t.is(after?.host, before?.host);
  }
});

test('members of the preferred failure domain come first, so no home is chosen elsewhere while one of them is available', (t) => {
  const order = rankMembers('cell', members, 'domain-2');
  t.deepEqual(
    order.slice(0, 3).map((m) => m.failureDomain),
    ['domain-2', 'domain-2', 'domain-2'],
  );
});

test('findHome returns the same home as the full ranking', (t) => {
  for (let i = 0; i < 200; i += 1) {
    const key = `key-${String(i)}`;
    t.is(findHome(key, members), rankMembers(key, members)[0]);
  }
});

test('keys are spread evenly, so the hash gives no member many more keys than another', (t) => {
  const counts = new Map<string, number>();
  for (let i = 0; i < 9_000; i += 1) {
    const host = findHome(`key-${String(i)}`, members)?.host ?? '';
    counts.set(host, (counts.get(host) ?? 0) + 1);
  }
  for (const member of members) {
    const count = counts.get(member.host) ?? 0;
    t.true(count > 850 && count < 1_150, `${member.host}: ${String(count)}`);
  }
});
