import test from 'ava';
import { createRetentionPlanner } from '@laburnumshift/plan-retention';
import { createCacheDirectory } from '@laburnumshift/track-cache';
import type {
  CacheDirectory,
  RetentionPlanner,
  RunReport,
  StoreStat,
  StoreState,
} from '@laburnumshift/types';

const MIB = 1024 ** 2;
const SECOND_MS = 1_000;
const HOUR_MS = 3_600_000;

function createPlanner(quotaPieces = 1_000): RetentionPlanner {
  return createRetentionPlanner({
    pieceBytes: MIB,
    pieceTokens: 2_000,
    prefillTokensPerSecond: 20_000,
    getWeights: () => ({ perMs: 1, perKiloTokenRecomputed: 20, perMebibyteMoved: 20 }),
    getQuotaBytes: () => quotaPieces * MIB,
  });
}

function buildReport(service: string, prompt: string, visit: number, pieces = 4): RunReport {
  const refs = Array.from({ length: pieces }, (_, index) => ({
    chain: `${prompt}-${String(index)}`,
    tokens: 2_000,
  }));
  const place = { pool: 'p', cell: 0, engine: 'e1', fingerprint: prompt, weightVersion: 'v1' };
  const counts = { cachedPieces: 0, importedPieces: 0, computedTokens: 0, outputTokens: 0, estimateMs: 0 };
  const names = { requestId: `${prompt}.${String(visit)}`, service, account: 'a1', cacheScope: 's' };
  return { ...place, ...counts, ...names, result: 'finished', pieces: refs };
}

function buildStore(patch: Partial<StoreStat> = {}, alive = true): StoreState {
  const rates = { linkBytesPerSecond: 100 * MIB, diskBytesPerSecond: 50 * MIB };
  const sizes = { memoryBytes: 100 * MIB, diskBytes: 100 * MIB };
  const host = { name: 'st', url: 'u', failureDomain: 'd', ...sizes, ...rates };
  const { linkBytesPerSecond } = rates;
  const state = { memoryUsed: 0, diskUsed: 0, linkQueuedBytes: 0, otherShare: 0, linkBytesPerSecond };
  return { host, stat: { ...sizes, ...state, ...patch }, alive };
}

/** Records 60 prompts of a service that each return the given number of times, with the given gap. */
function recordReturns(planner: RetentionPlanner, service: string, gapMs: number, returns: number): void {
  for (let number = 0; number < 60; number += 1) {
    const startMs = number * SECOND_MS;
    for (let visit = 0; visit <= returns; visit += 1) {
      planner.recordUse(buildReport(service, `${service}-${String(number)}`, visit), startMs + visit * gapMs);
    }
  }
}

function planNew(planner: RetentionPlanner, service: string, store: StoreState, atMs: number): string[] {
  const report = buildReport(service, `new-${service}`, 0);
  planner.recordUse(report, atMs);
  const plans = planner.planExports(report, [store], createCacheDirectory(), atMs);
  return plans.map((plan) => `${plan.tier} ${plan.chain}`);
}

/** Records prompts of four pieces each in the planner, and in the directory as exported. */
function recordPrompts(
  planner: RetentionPlanner,
  directory: CacheDirectory,
  service: string,
  prompts: number,
  tier: 'memory' | 'disk',
  atMs: number,
): void {
  for (let number = 0; number < prompts; number += 1) {
    const report = buildReport(service, `kept-${service}-${String(number)}`, 0);
    planner.recordUse(report, atMs + number);
    for (const { chain } of report.pieces) {
      const place = { scope: 's', chain, store: 'st', tier };
      directory.recordStoredPiece({ ...place, generation: 1, length: 1, checksum: 'c', bytes: MIB });
    }
  }
}

// Guards against exports of prompts that never return, and against the wrong tier for the expected gap.
test('exports only prompts that return, to memory after short gaps and to disk after long ones', (t) => {
  const planner = createPlanner();
  recordReturns(planner, 'short', 60 * SECOND_MS, 3);
  recordReturns(planner, 'long', 2 * HOUR_MS, 3);
  recordReturns(planner, 'never', 0, 0);
  const now = 8 * HOUR_MS;
  const order = [0, 1, 2, 3];
  t.deepEqual(
    planNew(planner, 'short', buildStore(), now),
    order.map((index) => `memory new-short-${String(index)}`),
  );
  t.deepEqual(
    planNew(planner, 'long', buildStore(), now),
    order.map((index) => `disk new-long-${String(index)}`),
  );
  t.deepEqual(planNew(planner, 'never', buildStore(), now), []);
});

const UNUSABLE: Readonly<Record<string, StoreState>> = {
  'a dead store': buildStore({}, false),
  'a store without a report': { ...buildStore(), stat: undefined },
  'a full store': buildStore({ memoryUsed: 99 * MIB, diskUsed: 99 * MIB }),
  'a link slower than recomputation': buildStore({ linkBytesPerSecond: 5 * MIB }),
  'a link that the older system occupies': buildStore({ otherShare: 0.95 }),
  'a long queue on the link': buildStore({ linkQueuedBytes: 3_000 * MIB }),
};

for (const [name, store] of Object.entries(UNUSABLE)) {
  // Guards against exports to a store that can no longer save recomputation.
  test(`${name} gets no exports`, (t) => {
    const planner = createPlanner();
    recordReturns(planner, 'short', 60 * SECOND_MS, 3);
    t.deepEqual(planNew(planner, 'short', store, HOUR_MS), []);
    t.is(planNew(planner, 'short', buildStore(), HOUR_MS + 1).length, 4);
  });
}

// Guards against one account that uses up the store for all others.
test('an account stays within its quota', (t) => {
  const planner = createPlanner(10);
  recordReturns(planner, 'short', 60 * SECOND_MS, 3);
  const directory = createCacheDirectory();
  let exported = 0;
  for (let number = 0; number < 10; number += 1) {
    const report = buildReport('short', `quota-${String(number)}`, 0);
    planner.recordUse(report, HOUR_MS + number);
    exported += planner.planExports(report, [buildStore()], directory, HOUR_MS + number).length;
  }
  t.true(exported > 0 && exported <= 10);
  recordPrompts(planner, directory, 'short', 5, 'memory', HOUR_MS + 100);
  const changes = planner.planChanges([buildStore({ memoryUsed: 20 * MIB })], directory, HOUR_MS + 200);
  t.is(changes.filter((change) => change.action === 'delete').length, 11);
});

// Guards against the eviction of a prompt's first pieces, which makes the rest useless, and of the more valuable
// prompts.
test('eviction removes the least valuable prompts from their end', (t) => {
  const planner = createPlanner();
  recordReturns(planner, 'short', 60 * SECOND_MS, 3);
  recordReturns(planner, 'never', 0, 0);
  const directory = createCacheDirectory();
  recordPrompts(planner, directory, 'short', 12, 'disk', HOUR_MS);
  recordPrompts(planner, directory, 'never', 12, 'disk', HOUR_MS);
  const store = buildStore({ diskUsed: 96 * MIB });
  const changes = planner.planChanges([store], directory, HOUR_MS + SECOND_MS);
  const deleted = changes.filter((change) => change.action === 'delete').map((change) => change.chain);
  t.true(deleted.length >= 6);
  t.true(deleted.every((chain) => chain.startsWith('kept-never')));
  for (const chain of deleted) {
    const [prompt, index] = [chain.slice(0, -1), Number(chain.at(-1))];
    if (index < 3) t.true(deleted.includes(`${prompt}${String(index + 1)}`));
  }
});

// Guards against prefetches that delay imports, and against prefetches of prompts that are not expected soon.
test('prefetches prompts expected soon, and only while the link is idle', (t) => {
  const planner = createPlanner();
  recordReturns(planner, 'long', 2 * HOUR_MS, 3);
  const directory = createCacheDirectory();
  recordPrompts(planner, directory, 'long', 2, 'disk', 10 * HOUR_MS);
  const planAt = (atMs: number, linkQueuedBytes: number): string[] =>
    planner
      .planChanges([buildStore({ diskUsed: 8 * MIB, linkQueuedBytes })], directory, atMs)
      .map((change) => change.action);
  const due = 12 * HOUR_MS - 30 * SECOND_MS;
  t.deepEqual(planAt(10 * HOUR_MS + SECOND_MS, 0), []);
  t.deepEqual(planAt(due, MIB), []);
  t.deepEqual(
    planAt(due, 0),
    Array.from({ length: 8 }, () => 'to-memory'),
  );
});
