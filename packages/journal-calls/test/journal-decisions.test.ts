import test from 'ava';
import { installClock } from '@laburnumshift/test-utils';
import type { JournalBegin } from '@laburnumshift/types';
import type { Fault } from './fake-platform.js';
import { simulateJournal } from './simulate-journal.js';

const settings = {
  shards: [3, 3, 3],
  retentionMs: 60_000,
  minWriteIntervalMs: 80,
  limits: { maxAnswerBytes: 100 },
};

function startSimulation() {
  const clock = installClock();
  const fault = { now: 'none' as Fault };
  const sim = simulateJournal(
    () => fault.now,
    () => 0.5,
    settings,
  );
  const call = { account: 'desk', service: 'booking', key: 'k' };
  const createBegin = (changes: Partial<JournalBegin> = {}): JournalBegin => ({
    ...call,
    bodyHash: 'h',
    attemptId: 'a1',
    node: 'node-0',
    incarnation: 1,
    system: 'own',
    issuedAtMs: Date.now(),
    waitMs: 0,
    ...changes,
  });
  const begin = async (node: number, changes: Partial<JournalBegin> = {}, ms = 3000) => {
    const decision = sim.nodes[node]?.journal.beginCall(createBegin(changes));
    await clock.tickAsync(ms);
    return decision;
  };
  return { clock, fault, sim, call, begin };
}

// Guards against a waiting resend that misses the answer, another body under the same key, and a second permission to
// run.
test.serial('a resend waits for the answer and must have the same body', async (t) => {
  const { clock, sim, call, begin } = startSimulation();
  t.teardown(() => {
    clock.uninstall();
  });
  t.like(await begin(0), { kind: 'run', attemptId: 'a1', system: 'own' });
  t.like(await begin(0), { kind: 'unavailable' }, 'the same attempt again');
  t.like(await begin(1, { attemptId: 'a2', bodyHash: 'other' }), { kind: 'body-differs' });
  t.like(await begin(1, { attemptId: 'a3' }), { kind: 'in-progress' });
  const resend = begin(1, { attemptId: 'a4', waitMs: 5000, system: 'older' }, 2000);
  const answer = { status: 201, headers: { a: 'b' }, body: 'booked' };
  const finish = sim.nodes[0]?.journal.finishCall({ ...call, attemptId: 'a1', answer });
  t.deepEqual(await resend, { kind: 'finished', answer, system: 'own' });
  t.true(await finish);
  const late = sim.nodes[2]?.journal.beginCall({
    ...call,
    bodyHash: 'h',
    attemptId: 'a5',
    node: 'node-2',
    incarnation: 1,
    system: 'own',
    issuedAtMs: Date.now() - 60_001,
    waitMs: 0,
  });
  await clock.tickAsync(1000);
  t.like(await late, { kind: 'expired' });
});

// Guards against a large answer that fills the journal, and against one that is dropped without a note in the stored
// answer.
test.serial('an answer over the size limit is stored with its status only', async (t) => {
  const { clock, sim, call, begin } = startSimulation();
  t.teardown(() => {
    clock.uninstall();
  });
  await begin(0);
  const answer = { status: 200, headers: {}, body: 'x'.repeat(200) };
  const finish = sim.nodes[0]?.journal.finishCall({ ...call, attemptId: 'a1', answer });
  await clock.tickAsync(1000);
  t.true(await finish);
  const kept = { status: 200, headers: { 'x-answer-stored': 'false' }, body: '' };
  t.deepEqual(await begin(1, { attemptId: 'a2' }), { kind: 'finished', answer: kept, system: 'own' });
});

// Guards against a dispatch without a confirmed record, and against a key that stays blocked after an outage has ended.
test.serial('no call is permitted while the platform is down or its result is unknown', async (t) => {
  const { clock, fault, begin } = startSimulation();
  t.teardown(() => {
    clock.uninstall();
  });
  for (const [index, kind] of (['refused', 'lost', 'lost-applied', 'late'] as const).entries()) {
    fault.now = kind;
    const changes = { attemptId: `b${String(index)}`, key: `k${String(index)}` };
    t.like(await begin(0, changes, 5000), { kind: 'unavailable' }, kind);
    fault.now = 'none';
    await clock.tickAsync(5000);
    t.like(await begin(1, { ...changes, attemptId: `c${String(index)}` }), { kind: 'run' }, kind);
  }
});

// Guards against a resend that gets `in-progress` for 120 s although the answer is known to be lost.
test.serial(
  'a resend after a lost answer gets unknown at once, and a late answer is still recorded',
  async (t) => {
    const { clock, sim, call, begin } = startSimulation();
    t.teardown(() => {
      clock.uninstall();
    });
    const attempt = { ...call, attemptId: 'a1' };
    await begin(0);
    t.like(await begin(1, { attemptId: 'a2' }), { kind: 'in-progress' });
    const other = sim.nodes[2]?.journal.markUnknown({ ...attempt, attemptId: 'a2' });
    const marking = sim.nodes[0]?.journal.markUnknown(attempt);
    await clock.tickAsync(1000);
    t.false(await other, 'an attempt without permission');
    t.true(await marking);
    t.like(await begin(1, { attemptId: 'a3', waitMs: 5000 }, 1000), { kind: 'unknown' });
    const answer = { status: 200, headers: {}, body: 'booked' };
    const finish = sim.nodes[0]?.journal.finishCall({ ...attempt, answer });
    await clock.tickAsync(1000);
    t.true(await finish);
    const late = sim.nodes[0]?.journal.markUnknown(attempt);
    t.deepEqual(await begin(2, { attemptId: 'a4' }), { kind: 'finished', answer, system: 'own' });
    t.true(await late, 'the answer is recorded');
  },
);
