import test from 'ava';
import fc from 'fast-check';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { installClock } from '@laburnumshift/test-utils';
import type { Fault } from './fake-platform.js';
import type { JournalDecision } from '@laburnumshift/types';
import { simulateJournal, type CallOutcome } from './simulate-journal.js';

const limits = {
  sealThresholdChars: 900,
  maxEntries: 4,
  maxClockSkewMs: 2000,
  maxViewAgeMs: 1000,
  cleanupIntervalMs: 2000,
  maxAttemptMs: 20_000,
  recordRetryMs: 10_000,
};
const settings = { shards: [1, 2, 1], retentionMs: 15_000, minWriteIntervalMs: 80, limits };
const createRandom = (seed: number) => {
  const generator = xoroshiro128plus(seed);
  return (): number => uniformInt(generator, 0, 999_999) / 1_000_000;
};

const node = fc.integer({ min: 0, max: 2 });
const key = fc.integer({ min: 0, max: 9 }).map((n) => `k${String(n)}`);
const outcome = fc.constantFrom<CallOutcome>(
  'finish',
  'finish',
  'abandon',
  'no-result',
  'mark-unknown',
  'crash-before',
  'crash-after',
  'crash-finishing',
);
const faults = fc.constantFrom<Fault[]>(
  [],
  [],
  ['refused'],
  ['lost-applied'],
  ['lost'],
  ['late'],
  ['slow'],
  ['refused', 'lost-applied', 'lost', 'late', 'slow'],
);
type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;
const step = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('call' as const),
      node,
      key,
      outcome,
      waitMs: fc.constantFrom(0, 500),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('look' as const), node, key }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('crash' as const), node }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('fault' as const),
      faults,
      rate: fc.constantFrom(0.2, 0.6, 1),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('net' as const),
      split: fc.boolean(),
      mesh: fc.constantFrom('ok' as const, 'lost' as const, 'reply-lost' as const, 'late' as const),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('tick' as const),
      ms: fc.constantFrom(0, 5, 30, 300, 3000, 9000),
    }),
  },
);

// Guards against a second run of a key, a wrong `absent`, the answer of another run, a lost answer,
// a lost `unknown` record, and a `seen: false` for a key that was submitted before.
test.serial('a call runs at most once in random histories', async (t) => {
  const counts: Record<string, number> = {};
  const runHistory = async (all: Step[], seed: number, isFaultFree: boolean): Promise<void> => {
    const clock = installClock();
    // `seen` is exact only while no node crashes and no link fails.
    const steps = all.filter((item) => !isFaultFree || (item.kind !== 'net' && item.kind !== 'crash'));
    try {
      const random = createRandom(seed);
      let active: { faults: Fault[]; rate: number } = { faults: [], rate: 0 };
      const pickFault = (): Fault => {
        const isHit = active.faults.length > 0 && random() < active.rate;
        return isHit ? (active.faults[Math.floor(random() * active.faults.length)] ?? 'none') : 'none';
      };
      const sim = simulateJournal(pickFault, random, settings);
      const count = (decision: JournalDecision | undefined): void => {
        if (decision === undefined) return;
        const name = decision.kind === 'unavailable' && !decision.seen ? 'unseen' : decision.kind;
        counts[name] = (counts[name] ?? 0) + 1;
      };
      for (const item of steps) {
        if (item.kind === 'call')
          void sim.runCall(item.node, item.key, item.waitMs, item.outcome).then(count);
        if (item.kind === 'look') void sim.findCall(item.node, item.key).then(count);
        if (item.kind === 'crash') sim.killNode(item.node);
        if (item.kind === 'fault') active = item;
        if (item.kind === 'net') {
          const isStillFaultFree = sim.state.isFaultFree && !item.split && item.mesh === 'ok';
          Object.assign(sim.state, { split: item.split, mesh: item.mesh, isFaultFree: isStillFaultFree });
        }
        if (item.kind === 'tick') await clock.tickAsync(item.ms);
      }
      active = { faults: [], rate: 0 };
      Object.assign(sim.state, { split: false, mesh: 'ok' });
      await clock.tickAsync(5000);
      for (const known of sim.issued.keys()) {
        const isConfirmed = sim.confirmed.has(known);
        const found = sim.runCall(0, known, 0, 'finish');
        const lookedUp = sim.findCall(1, known);
        await clock.tickAsync(4000);
        const [decision, foundState] = [await found, await lookedUp];
        const isKept = Date.now() < (sim.issued.get(known) ?? 0) + settings.retentionMs;
        const isAnswered = !isConfirmed || decision.kind === 'finished';
        if (isKept && !isAnswered) sim.problems.push(`${known}: confirmed answer lost: ${decision.kind}`);
        if (isKept && sim.markedUnknown.has(known) && decision.kind !== 'unknown') {
          sim.problems.push(`${known}: marked as unknown but answered ${decision.kind}`);
        }
        if (decision.kind === 'unavailable' || foundState?.kind === 'unavailable') {
          sim.problems.push(`${known}: unavailable without faults`);
        }
      }
      for (const [known, ran] of sim.runs) {
        if (ran.length > 1) sim.problems.push(`${known}: ran ${String(ran.length)} times`);
      }
      counts.deletes = (counts.deletes ?? 0) + sim.platform.counts.deletes;
      for (const one of sim.nodes) void one.journal.close();
      await clock.tickAsync(100);
      if (sim.problems.length > 0) throw new Error(sim.problems.join('; '));
    } finally {
      clock.uninstall();
    }
  };
  const run = fc.assert(
    fc.asyncProperty(fc.array(step, { minLength: 8, maxLength: 90 }), fc.integer(), fc.boolean(), runHistory),
    {
      seed: Number(process.env.JOURNAL_SEED ?? 7),
      numRuns: Number(process.env.JOURNAL_RUNS ?? 150),
      endOnFailure: process.env.JOURNAL_SHRINK === undefined,
    },
  );
  await run.catch((error: unknown) => {
    t.log(error instanceof Error ? error.cause : error);
    throw error;
  });
  t.log(counts);
  t.true(
    (counts.run ?? 0) > 0 &&
      (counts.finished ?? 0) > 0 &&
      (counts.unknown ?? 0) > 0 &&
      (counts.unseen ?? 0) > 0 &&
      (counts.deletes ?? 0) > 0,
  );
});
