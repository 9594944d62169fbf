import test from 'ava';
import type { Member } from '@laburnumshift/types';
import { findHome, rankHomes } from '@laburnumshift/rank-homes';

const members: Member[] = Array.from({ length: 9 }, (_, i) => ({
  host: `node-${String(i)}`,
  incarnation: 1,
  failureDomain: `domain-${String(i % 3)}`,
  address: `127.0.0.1:${String(7000 + i)}`,
}));

// Guards against homes moving between members that stayed.
test('a leaving member moves only its own keys', (t) => {
  for (let i = 0; i < 200; i += 1) {
    const key = `key-${String(i)}`;
    const before = rankHomes(key, members)[0];
    const after = rankHomes(key, members.slice(1))[0];
    if (before?.host !== 'node-0') t.is(after?.host, before?.host);
  }
});

// Guards against a home far from its cell while a near one lives.
test('the preferred failure domain goes first', (t) => {
  const order = rankHomes('cell', members, 'domain-2');
  t.deepEqual(
    order.slice(0, 3).map((m) => m.failureDomain),
    ['domain-2', 'domain-2', 'domain-2'],
  );
});

// Guards against a home that the short search and the full ranking see differently.
test('the found home is the first of the ranking', (t) => {
  for (let i = 0; i < 200; i += 1) {
    const key = `key-${String(i)}`;
    t.is(findHome(key, members), rankHomes(key, members)[0]);
  }
});

// Guards against a mixing step that gives some members far more keys than others.
test('keys spread evenly', (t) => {
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
