import test from 'ava';
import { createAdmissionQueue } from '@laburnumshift/admit-request';
import type { AdmissionEntry, AdmissionQueue } from '@laburnumshift/admit-request';

const slots = { free: 9, reserved: 0 };
let entryCount = 0;
const makeEntry = (change: Partial<AdmissionEntry> = {}): AdmissionEntry => {
  entryCount += 1;
  const requestId = `r${String(entryCount)}`;
  return {
    requestId,
    account: 'a',
    accountWeight: 1,
    priority: 'normal',
    tokens: 1000,
    deadlineAtMs: 1e9,
    timeToFirstTokenMs: 0,
    ...change,
  };
};
const takeAll = (queue: AdmissionQueue, count: number, nowMs: number): AdmissionEntry[] =>
  Array.from({ length: count }, () => queue.takeNext(nowMs, slots)).filter((entry) => entry !== undefined);

// Guards against one account with many large prompts delaying the others.
test('accounts of one priority share the slots by weight and tokens', (t) => {
  const queue = createAdmissionQueue({ maxEntriesPerAccount: 100 });
  for (let i = 0; i < 60; i += 1) queue.addEntry(makeEntry({ account: 'large', tokens: 4000 }), 0);
  for (let i = 0; i < 60; i += 1) queue.addEntry(makeEntry({ account: 'small' }), 0);
  for (let i = 0; i < 60; i += 1) queue.addEntry(makeEntry({ account: 'paid', accountWeight: 2 }), 0);
  const served: Record<string, number> = {};
  for (const { account, tokens } of takeAll(queue, 60, 1)) served[account] = (served[account] ?? 0) + tokens;
  t.true(Math.abs((served.large ?? 0) - (served.small ?? 0)) <= 4000);
  t.true(Math.abs((served.paid ?? 0) - 2 * (served.small ?? 0)) <= 4000);
});

// Guards against an account that gains credit while it is idle and then blocks the others.
test('an account gains no credit while it has nothing queued', (t) => {
  const queue = createAdmissionQueue();
  for (let i = 0; i < 40; i += 1) queue.addEntry(makeEntry({ account: 'steady' }), 0);
  takeAll(queue, 30, 1);
  for (let i = 0; i < 10; i += 1) queue.addEntry(makeEntry({ account: 'idle' }), 2);
  const next = takeAll(queue, 10, 3).map((entry) => entry.account);
  t.true(next.filter((account) => account === 'steady').length >= 4);
});

// Guards against starvation of bulk requests under a steady stream of urgent ones, and against aged requests that get more than one
// admission in eight.
test('aged bulk entries get one admission in eight while urgent entries arrive', (t) => {
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

// Guards against normal requests that take the slots reserved for urgent ones.
test('reserved slots are given to urgent entries only', (t) => {
  const queue = createAdmissionQueue();
  queue.addEntry(makeEntry(), 0);
  t.is(queue.takeNext(0, { free: 2, reserved: 2 }), undefined);
  const urgent = makeEntry({ priority: 'urgent' });
  queue.addEntry(urgent, 0);
  t.is(queue.takeNext(0, { free: 2, reserved: 2 }), urgent);
});

// Guards against queueing a request that cannot meet its deadline, and against a retry delay that is too short or too long.
test('a request refused for its deadline is accepted after the stated retry delay', (t) => {
  const queue = createAdmissionQueue({ tokensPerSecond: 1000 });
  const late = makeEntry({ account: 'b', deadlineAtMs: 4000, timeToFirstTokenMs: 1000 });
  for (let i = 0; i < 8; i += 1) queue.addEntry(makeEntry({ priority: 'urgent' }), 0);
  const refusal = queue.addEntry(late, 0);
  t.is(refusal?.code, 'deadline_unreachable');
  t.is(refusal?.retryAfterMs, 5000);
  for (let at = 1000; at <= 5000; at += 1000) queue.takeNext(at, slots);
  t.is(queue.addEntry({ ...late, deadlineAtMs: 9000 }, 5000), undefined);
});

// Guards against entries that stay queued until their deadline when the queue drains more slowly than expected.
test('queued entries are refused as soon as they cannot meet their deadline', (t) => {
  const queue = createAdmissionQueue({ tokensPerSecond: 1000 });
  const entries = [1, 2, 3].map(() => makeEntry({ deadlineAtMs: 6000 }));
  for (const entry of entries) queue.addEntry(entry, 0);
  t.deepEqual(queue.refuseUnreachable(0), []);
  t.deepEqual(
    queue.refuseUnreachable(4000).map((refusal) => refusal.requestId),
    [entries[1]?.requestId, entries[2]?.requestId],
  );
});

// Guards against one account that fills the queue.
test('the number of queued entries of one account is bounded', (t) => {
  const queue = createAdmissionQueue({ maxEntriesPerAccount: 2 });
  queue.addEntry(makeEntry(), 0);
  queue.addEntry(makeEntry(), 0);
  t.is(queue.addEntry(makeEntry(), 0)?.code, 'overloaded');
  t.is(queue.addEntry(makeEntry({ account: 'b' }), 0), undefined);
});

// Guards against slots given to callers that have gone, and against entries that lose their position when their caller polls.
test('entries expire when their caller stops polling', (t) => {
  const queue = createAdmissionQueue();
  const kept = makeEntry();
  const cancelled = makeEntry();
  for (const entry of [kept, makeEntry(), cancelled]) queue.addEntry(entry, 0);
  t.true(queue.cancelEntry(cancelled.requestId));
  t.true(queue.recordPoll(kept.requestId, 900));
  t.is(queue.removeExpired(1500).length, 1);
  t.is(queue.getPosition(kept.requestId), 0);
  t.is(queue.takeNext(1500, slots), kept);
  t.is(queue.takeNext(1500, slots), undefined);
});

// Guards against an entry that no free engine may run and that blocks the entries behind it.
test('an entry that cannot run is skipped and keeps its position', (t) => {
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
