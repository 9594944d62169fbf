import test from 'ava';
import { createAdmissionQueue } from '@laburnumshift/admit-request';
import type { AdmissionEntry, AdmissionQueue } from '@laburnumshift/admit-request';

const slots = { free: 9, reserved: 0 };
let made = 0;
const makeEntry = (change: Partial<AdmissionEntry> = {}): AdmissionEntry => {
  made += 1;
  const requestId = `r${String(made)}`;
  return {
    requestId,
    account: 'a',
    accountWeight: 1,
    priority: 'normal',
    tokens: 1000,
    deadlineAtMs: 1e9,
    serviceMs: 0,
    ...change,
  };
};
const takeAll = (queue: AdmissionQueue, count: number, nowMs: number): AdmissionEntry[] =>
  Array.from({ length: count }, () => queue.takeNext(nowMs, slots)).filter((entry) => entry !== undefined);

// Guards against one account with many large prompts delaying the others.
test('accounts share by weight and tokens', (t) => {
  const queue = createAdmissionQueue({ maxPerAccount: 100 });
  for (let i = 0; i < 60; i += 1) queue.addEntry(makeEntry({ account: 'large', tokens: 4000 }), 0);
  for (let i = 0; i < 60; i += 1) queue.addEntry(makeEntry({ account: 'small' }), 0);
  for (let i = 0; i < 60; i += 1) queue.addEntry(makeEntry({ account: 'paid', accountWeight: 2 }), 0);
  const served: Record<string, number> = {};
  for (const { account, tokens } of takeAll(queue, 60, 1)) served[account] = (served[account] ?? 0) + tokens;
  t.true(Math.abs((served.large ?? 0) - (served.small ?? 0)) <= 4000);
  t.true(Math.abs((served.paid ?? 0) - 2 * (served.small ?? 0)) <= 4000);
});

// Guards against an account that was idle collecting credit and then blocking the others.
test('time without demand earns no credit', (t) => {
  const queue = createAdmissionQueue();
  for (let i = 0; i < 40; i += 1) queue.addEntry(makeEntry({ account: 'steady' }), 0);
  takeAll(queue, 30, 1);
  for (let i = 0; i < 10; i += 1) queue.addEntry(makeEntry({ account: 'idle' }), 2);
  const next = takeAll(queue, 10, 3).map((entry) => entry.account);
  t.true(next.filter((account) => account === 'steady').length >= 4);
});

// Guards against bulk work starving under a steady stream of urgent calls, and against it taking more than its part.
test('aged bulk work gets one admission in eight', (t) => {
  const queue = createAdmissionQueue();
  for (let i = 0; i < 20; i += 1) queue.addEntry(makeEntry({ priority: 'bulk' }), 0);
  const taken: (string | undefined)[] = [];
  for (let i = 0; i < 160; i += 1) {
    queue.addEntry(makeEntry({ account: 'b', priority: 'urgent' }), 20_000 + i);
    taken.push(queue.takeNext(20_000 + i, slots)?.priority);
  }
  t.is(taken.filter((priority) => priority === 'bulk').length, 20);
  t.is(queue.getCounts().aged, 20);
});

// Guards against other work filling the slots that urgent calls need.
test('reserved slots are for urgent entries', (t) => {
  const queue = createAdmissionQueue();
  queue.addEntry(makeEntry(), 0);
  t.is(queue.takeNext(0, { free: 2, reserved: 2 }), undefined);
  const urgent = makeEntry({ priority: 'urgent' });
  queue.addEntry(urgent, 0);
  t.is(queue.takeNext(0, { free: 2, reserved: 2 }), urgent);
});

// Guards against holding a request that cannot be served in time, and against a retry time that is too early or late.
test('a retry at the stated time is accepted', (t) => {
  const queue = createAdmissionQueue({ tokensPerSecond: 1000 });
  const late = makeEntry({ account: 'b', deadlineAtMs: 4000, serviceMs: 1000 });
  for (let i = 0; i < 8; i += 1) queue.addEntry(makeEntry({ priority: 'urgent' }), 0);
  const refusal = queue.addEntry(late, 0);
  t.is(refusal?.code, 'deadline_unreachable');
  t.is(refusal?.retryAfterMs, 5000);
  for (let at = 1000; at <= 5000; at += 1000) queue.takeNext(at, slots);
  t.is(queue.addEntry({ ...late, deadlineAtMs: 9000 }, 5000), undefined);
});

// Guards against entries held until their deadline when the queue drains slower than expected.
test('entries are refused once they are late', (t) => {
  const queue = createAdmissionQueue({ tokensPerSecond: 1000 });
  const entries = [1, 2, 3].map(() => makeEntry({ deadlineAtMs: 6000 }));
  for (const entry of entries) queue.addEntry(entry, 0);
  t.deepEqual(queue.refuseLate(0), []);
  t.deepEqual(
    queue.refuseLate(4000).map((refusal) => refusal.requestId),
    [entries[1]?.requestId, entries[2]?.requestId],
  );
});

// Guards against one account filling the queue.
test('the length per account is bounded', (t) => {
  const queue = createAdmissionQueue({ maxPerAccount: 2 });
  queue.addEntry(makeEntry(), 0);
  queue.addEntry(makeEntry(), 0);
  t.is(queue.addEntry(makeEntry(), 0)?.code, 'overloaded');
  t.is(queue.addEntry(makeEntry({ account: 'b' }), 0), undefined);
});

// Guards against slots granted to callers that are gone, and against losing the position by asking again.
test('entries expire when nobody asks', (t) => {
  const queue = createAdmissionQueue();
  const kept = makeEntry();
  const cancelled = makeEntry();
  for (const entry of [kept, makeEntry(), cancelled]) queue.addEntry(entry, 0);
  t.true(queue.cancelEntry(cancelled.requestId));
  t.true(queue.markAsked(kept.requestId, 900));
  t.is(queue.dropExpired(1500).length, 1);
  t.is(queue.getPosition(kept.requestId), 0);
  t.is(queue.takeNext(1500, slots), kept);
  t.is(queue.takeNext(1500, slots), undefined);
});

// Guards against one entry that no engine may run blocking those behind it.
test('an entry that cannot run keeps its position', (t) => {
  const queue = createAdmissionQueue();
  const [first, second] = [makeEntry(), makeEntry()];
  queue.addEntry(first, 0);
  queue.addEntry(second, 0);
  t.is(
    queue.takeNext(1, slots, (entry) => entry !== first),
    second,
  );
  t.is(queue.takeNext(1, slots), first);
});
