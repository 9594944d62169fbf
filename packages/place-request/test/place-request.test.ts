import test from 'ava';
import fc from 'fast-check';
import { BASELINES, computeRoom, createPrefillBacklog, placeRequest } from '@laburnumshift/place-request';
import type { EngineState, PlacementInput } from '@laburnumshift/place-request';

const makeEngine = (name: string, change: Partial<EngineState> = {}): EngineState => ({
  name,
  url: `http://${name}`,
  weightVersion: 'v1',
  usable: true,
  suspects: 0,
  running: 0,
  slots: 8,
  queueMs: 0,
  prefillTokensPerSecond: 10_000,
  ...change,
});

/** Eight pieces of 2,000 tokens: 200 ms of prefill each; a piece takes 20 ms on the link. */
const makeInput = (change: Partial<PlacementInput> = {}): PlacementInput => ({
  engines: [makeEngine('a'), makeEngine('b')],
  pieces: Array.from({ length: 8 }, (_, i) => ({ chain: `c${String(i)}`, tokens: 2000 })),
  pieceBytes: 2_000_000,
  caches: new Map(),
  weights: { perMs: 1, perKiloTokenRecomputed: 1, perMebibyteMoved: 0.1 },
  exclude: [],
  suspect: false,
  stickyKey: 'k',
  turn: 0,
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

// Guards against a loaded engine winning by its cache alone, and against the cache being ignored.
test('weighs cached pieces against the queue', (t) => {
  const caches = makeCache([], 1, 0, new Map([['a', 6]]));
  t.is(placeRequest(makeInput({ caches }))?.engine, 'a');
  const engines = [makeEngine('a', { queueMs: 5000 }), makeEngine('b')];
  t.is(placeRequest(makeInput({ caches, engines }))?.engine, 'b');
});

// Guards against importing over a link that is slower than computing.
test('imports only when the link is faster', (t) => {
  const fast = placeRequest(makeInput({ caches: makeCache([0, 0, 0, 0, 0, 0, 0, -1]) }));
  t.is(fast?.importEnd, 7);
  const slow = placeRequest(makeInput({ caches: makeCache([0, 0, 0, 0, 0, 0, 0, -1], 1_000_000) }));
  t.is(slow?.importEnd, slow?.headPieces);
});

// Guards against waiting for a busy link with an idle engine: the head is computed while the tail is fetched.
test('computes the head while the tail arrives', (t) => {
  const plan = placeRequest(makeInput({ caches: makeCache([0, 0, 0, 0, 0, 0, 0, 0], 100_000_000, 500) }));
  t.is(plan?.headPieces, 3);
  t.is(plan?.importEnd, 8);
  t.is(plan?.estimateMs, 600);
});

// Guards against a collapse under load: engines that are all busy recompute what the link could bring a little later.
test('a busy pool imports rather than computes', (t) => {
  const caches = makeCache([0, 0, 0, 0, 0, 0, 0, 0], 100_000_000, 500);
  const engines = [0, 1, 2, 3].map((index) => makeEngine(`e${String(index)}`, { queueMs: 400 }));
  t.is(placeRequest(makeInput({ engines, caches }))?.headPieces, 0);
  t.is(placeRequest(makeInput({ engines, caches }))?.importEnd, 8);
});

// Guards against pieces of another weight version being counted, and against a resumed run changing its version.
test('uses cached pieces of the same version only', (t) => {
  const engines = [makeEngine('a', { weightVersion: 'v2' }), makeEngine('b', { queueMs: 100 })];
  const caches = makeCache([], 1, 0, new Map([['a', 8]]));
  t.is(placeRequest(makeInput({ engines, caches }))?.cachedPieces, 0);
  t.is(placeRequest(makeInput({ engines, weightVersion: 'v1' }))?.engine, 'b');
});

// Guards against work on engines that may not run it, for our decision and for all baselines.
test('every policy keeps the exclusions', (t) => {
  const engines = [
    makeEngine('gone', { usable: false }),
    makeEngine('tried'),
    makeEngine('risky', { suspects: 1 }),
    makeEngine('ok', { queueMs: 9000, running: 8 }),
  ];
  const input = makeInput({ engines, exclude: ['tried'], suspect: true });
  for (const policy of [placeRequest, ...Object.values(BASELINES)]) t.is(policy(input)?.engine, 'ok');
  t.is(placeRequest({ ...input, exclude: ['tried', 'ok'] }), undefined);
});

// Guards against the shortcut search missing a cheaper plan: it is compared with all plans on one source.
test('finds the cheapest plan on one source', (t) => {
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

// Guards against bulk requests that wait for prefill behind others while they hold every slot.
test('bulk requests leave slots to the others', (t) => {
  t.is(computeRoom(8, 1, 'bulk'), 4);
  t.true(computeRoom(8, 1, 'urgent') > computeRoom(8, 1, 'normal'));
  t.is(computeRoom(1, 0, 'bulk'), 1);
});

// Guards against urgent requests that are refused because of bulk work which they overtake.
test('the backlog of a priority leaves out lower ones', (t) => {
  const backlog = createPrefillBacklog();
  backlog.addTokens(8000, 'bulk', 1000, 0);
  backlog.addTokens(2000, 'urgent', 1000, 0);
  t.is(backlog.getTokens('normal', 1000, 0), 2000);
  t.is(backlog.getTokens('bulk', 1000, 3000), 7000);
  backlog.setTotal(3500, 1000, 3000);
  t.is(backlog.getTokens('bulk', 1000, 3000), 3500);
});
