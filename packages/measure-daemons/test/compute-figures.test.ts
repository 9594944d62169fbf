import test from 'ava';
import { compareCandidates } from '../src/compare-candidates.js';
import { computeFigures } from '../src/compute-figures.js';
import { DEPLOYMENTS } from '../src/deployments.js';
import type { RequestRecord } from '../src/request-record.js';
import type { SiteReport } from '../src/site-report.js';

const DEPLOYMENT = DEPLOYMENTS['night-walk'];
const REPORT: SiteReport = {
  computedTokens: 600,
  cachedTokens: 300,
  importedTokens: 100,
  foreignAnswers: 0,
  linkBytes: 2e9,
  peakLinkUse: 0.5,
  runs: {},
  platformCalls: {},
  lastRunAtMs: {},
};

function buildRecord(id: string, service: string, change: Partial<RequestRecord> = {}): RequestRecord {
  const kind = DEPLOYMENT.classes.find((entry) => entry.service === service);
  if (kind === undefined) throw new Error(`no service ${service}`);
  return {
    request: { atMs: 10_000, id, account: 'night-guides', kind, parts: [], tokens: 500, newTokens: 250 },
    sentAtMs: 10_000,
    firstTokenMs: 100,
    totalMs: 200,
    finished: true,
    refusals: [],
    cuts: [],
    attempts: 1,
    ...change,
  };
}

// Guards against a share that counts tokens which no earlier request had.
test('only tokens seen before count as recomputed', (t) => {
  const records = [buildRecord('1', 'scripts'), buildRecord('2', 'scripts')];
  const figures = computeFigures(DEPLOYMENT, records, REPORT);
  t.is(figures.shareRecomputed, 0.1);
  t.is(figures.shareCached, 0.3);
  t.is(figures.linkGigabytes, 2);
});

// Guards against percentiles that improve when requests fail.
test('a request without a token counts with its whole time', (t) => {
  const failed = { firstTokenMs: undefined, totalMs: 5_000, finished: false, refusals: ['x (not run)'] };
  const figures = computeFigures(DEPLOYMENT, [buildRecord('1', 'scripts', failed)], REPORT);
  t.true(figures.interactive.p50 >= 5_000);
  t.deepEqual(figures.failed, ['1 scripts: x (not run)']);
  t.deepEqual(figures.refusals, { 'x (not run)': 1 });
});

// Guards against a doubled booking that is not seen because its answer was right.
test('bookings that ran twice or never are counted', (t) => {
  const records = ['1', '2', '3'].map((id) => buildRecord(id, 'bookings'));
  const figures = computeFigures(DEPLOYMENT, records, { ...REPORT, runs: { 'key-1': 1, 'key-2': 2 } });
  t.is(figures.repeatedBookings, 1);
  t.is(figures.lostBookings, 1);
});

// Guards against a comparison with an average or a weak baseline.
test('the product is compared with the best baseline for each measure', (t) => {
  const own = computeFigures(DEPLOYMENT, [buildRecord('1', 'scripts')], REPORT);
  const build = (p95: number, shareRecomputed: number) => ({
    ...own,
    interactive: { ...own.interactive, p95 },
    shareRecomputed,
  });
  const candidates = { own: build(100, 0.1), slow: build(400, 0.1), lean: build(125, 0.4) };
  const { targets } = compareCandidates(DEPLOYMENT, candidates, false);
  const find = (text: string) => targets.find(({ target }) => target.includes(text));
  t.like(find('p95 over lean'), { measured: 0.8, met: true });
  t.like(find('recomputed over slow'), { measured: 1, met: false });
});
