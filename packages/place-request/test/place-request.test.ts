import test from 'ava';
import fc from 'fast-check';
import {
  BASELINE_POLICIES,
  computeInFlightLimit,
  createPrefillBacklog,
  placeRequest,
} from '@laburnumshift/place-request';
import type { EngineState, PlacementInput } from '@laburnumshift/place-request';

const makeEngine = (name: string, change: Partial<EngineState> = {}): EngineState => ({
  name,
  url: `http://${name}`,
  weightVersion: 'v1',
  usable: true,
  suspectsInFlight: 0,
  running: 0,
  slots: 8,
  queueMs: 0,
  prefillTokensPerSecond: 10_000,
  ...change,
});

/** Builds an input with eight pieces of 2,000 tokens, 200 ms of prefill each; a piece takes 20 ms on the link of `makeCache`. */
const makeInput = (change: Partial<PlacementInput> = {}): PlacementInput => ({
  engines: [makeEngine('a'), makeEngine('b')],
  pieces: Array.from({ length: 8 }, (_, i) => ({ chain: `c${String(i)}`, tokens: 2000 })),
  pieceBytes: 2_000_000,
  caches: new Map(),
  weights: { perMs: 1, perKiloTokenRecomputed: 1, perMebibyteMoved: 0.1 },
  exclude: [],
  suspect: false,
  affinityKey: 'k',
  decisionCount: 0,
  ...change,
});

const makeCache = (
  stored: number[],
  bytesPerSecond = 100_000_000,
  queueMs = 0,
  prefix = new Map<string, number>(),
) =>
  new Map([
    ['v1', { prefix, stored, sources: [{ store: 's', tier: 'memory' as const, queueMs, bytesPerSecond }] }],
  ]);

// Guards against an engine with a long queue that is chosen for its cache alone, and against a cache that is ignored.
test('the decision weighs cached pieces against the queue', (t) => {
  const caches = makeCache([], 1, 0, new Map([['a', 6]]));
  t.is(placeRequest(makeInput({ caches }))?.engine, 'a');
  const engines = [makeEngine('a', { queueMs: 5000 }), makeEngine('b')];
  t.is(placeRequest(makeInput({ caches, engines }))?.engine, 'b');
});

// Guards against imports over a link that is slower than recomputation.
test('pieces are imported only when the link is faster than recomputation', (t) => {
  const fast = placeRequest(makeInput({ caches: makeCache([0, 0, 0, 0, 0, 0, 0, -1]) }));
  t.is(fast?.importEnd, 7);
  const slow = placeRequest(makeInput({ caches: makeCache([0, 0, 0, 0, 0, 0, 0, -1], 1_000_000) }));
  t.is(slow?.importEnd, slow?.headPieces);
});

// Guards against an engine that stays idle while it waits for a busy link: it computes the head while the other pieces arrive.
test('the head is computed while the other pieces are imported', (t) => {
  const plan = placeRequest(makeInput({ caches: makeCache([0, 0, 0, 0, 0, 0, 0, 0], 100_000_000, 500) }));
  t.is(plan?.headPieces, 3);
  t.is(plan?.importEnd, 8);
  t.is(plan?.estimateMs, 600);
});

// Guards against an overload that recomputation makes worse: engines that are all busy recompute pieces which the link would deliver a
// little later.
test('busy engines import pieces instead of recomputing them', (t) => {
  const caches = makeCache([0, 0, 0, 0, 0, 0, 0, 0], 100_000_000, 500);
  const engines = [0, 1, 2, 3].map((index) => makeEngine(`e${String(index)}`, { queueMs: 400 }));
  t.is(placeRequest(makeInput({ engines, caches }))?.headPieces, 0);
  t.is(placeRequest(makeInput({ engines, caches }))?.importEnd, 8);
});

// Guards against pieces of another weight version that count as cached, and against a resumed run that changes its version.
test('only cached pieces of the weight version of the engine count', (t) => {
  const engines = [makeEngine('a', { weightVersion: 'v2' }), makeEngine('b', { queueMs: 100 })];
  const caches = makeCache([], 1, 0, new Map([['a', 8]]));
  t.is(placeRequest(makeInput({ engines, caches }))?.cachedPieces, 0);
  t.is(placeRequest(makeInput({ engines, weightVersion: 'v1' }))?.engine, 'b');
});

// Guards against requests on engines that may not run them, for the placement decision and for all baselines.
test('every policy chooses eligible engines only', (t) => {
  const engines = [
    makeEngine('gone', { usable: false }),
    makeEngine('tried'),
    makeEngine('risky', { suspectsInFlight: 1 }),
    makeEngine('ok', { queueMs: 9000, running: 8 }),
  ];
  const input = makeInput({ engines, exclude: ['tried'], suspect: true });
  for (const policy of [placeRequest, ...Object.values(BASELINE_POLICIES)]) t.is(policy(input)?.engine, 'ok');
  t.is(placeRequest({ ...input, exclude: ['tried', 'ok'] }), undefined);
});

// Guards against a search of few plans that misses a cheaper one: its result is compared with all plans over one source.
test('the chosen plan is the cheapest of all plans over one source', (t) => {
  const numbers = fc.record({
    cached: fc.nat(8),
    last: fc.nat(8),
    queueMs: fc.nat(900),
    rate: fc.integer({ min: 2, max: 200 }),
    perMebibyteMoved: fc.nat(80),
    perKiloTokenRecomputed: fc.nat(80),
  });
  fc.assert(
    fc.property(numbers, ({ cached, last, queueMs, rate, ...prices }) => {
      const weights = { perMs: 1, ...prices };
      const stored = Array.from({ length: 8 }, (_, i) => (i < last ? 0 : -1));
      const caches = makeCache(stored, rate * 1_000_000, queueMs, new Map([['a', cached]]));
      const chosen = placeRequest(makeInput({ engines: [makeEngine('a')], caches, weights }));
      let lowest = Infinity;
      for (let head = cached; head <= 8; head += 1) {
        for (let end = head; end <= Math.max(head, last); end += 1) {
          const moved = end - head;
          const computed = 8 - cached - moved;
          const transfer = moved > 0 ? queueMs + (moved * 2000) / rate : 0;
          const time = Math.max((head - cached) * 200, transfer) + (8 - end) * 200;
          const cost = time + computed * 2 * weights.perKiloTokenRecomputed;
          lowest = Math.min(lowest, cost + (moved * 2e6 * weights.perMebibyteMoved) / 2 ** 20);
        }
      }
      t.true((chosen?.candidates[0]?.cost ?? Infinity) <= lowest + 1e-6);
    }),
    { seed: 3 },
  );
});

// Guards against bulk requests that hold every slot while they wait for the prefill of other requests.
test('bulk requests leave slots free for urgent and normal requests', (t) => {
  t.is(computeInFlightLimit(8, 1, 'bulk'), 4);
  t.true(computeInFlightLimit(8, 1, 'urgent') > computeInFlightLimit(8, 1, 'normal'));
  t.is(computeInFlightLimit(1, 0, 'bulk'), 1);
});

// Guards against urgent requests that are refused because of bulk requests which engines prefill after them.
test('the backlog ahead of a priority excludes lower priorities', (t) => {
  const backlog = createPrefillBacklog();
  backlog.addTokens(8000, 'bulk', 1000, 0);
  backlog.addTokens(2000, 'urgent', 1000, 0);
  t.is(backlog.getTokensAhead('normal', 1000, 0), 2000);
  t.is(backlog.getTokensAhead('bulk', 1000, 3000), 7000);
  backlog.setTotalTokens(3500, 1000, 3000);
  t.is(backlog.getTokensAhead('bulk', 1000, 3000), 3500);
});
