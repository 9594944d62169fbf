import {
  estimateCapacity,
  isFullServer,
  placeCall,
  placePlainCall,
  type EngineCandidate,
  type PlainCandidate,
} from '@laburnumshift/place-calls';
import test from 'ava';
import { createEngine } from './create-engine.js';

const place = (candidates: readonly EngineCandidate[], outdatedPenaltyMs = 400, bytes = 0) =>
  placeCall({
    candidates,
    affinityKey: 'piece',
    inputTokens: 12_000,
    neededTokens: 12_400,
    ownDomain: 'north',
    bytes,
    outdatedPenaltyMs,
    rates: { prefillTokensPerMs: 50, fetchTokensPerMs: 400, runMs: 1000 },
  });
const idleEngine = createEngine('b');

const PREFERRED: readonly (readonly [name: string, better: Partial<EngineCandidate>])[] = [
  ['an engine that has the prompt cached is preferred to one that has to prefill it', { localTokens: 9000 }],
  ['an engine that can fetch the prompt is preferred to one that has to prefill it', { fetchTokens: 9000 }],
];
for (const [name, better] of PREFERRED) {
  test(name, (t) => {
    t.is(place([idleEngine, createEngine('a', better)]).id, 'a');
  });
}

const AVOIDED: readonly (readonly [name: string, worse: Partial<EngineCandidate>])[] = [
  ['a long queue outweighs cached pieces', { localTokens: 9000, waitMs: 900 }],
  ['prefill is preferred to a fetch over a saturated link', { fetchTokens: 9000, fetchSlowdown: 20 }],
  ['a full memory outweighs cached pieces', { localTokens: 9000, heldTokens: 95_000 }],
  ['calls queued for a slot outweigh cached pieces', { localTokens: 9000, calls: 15 }],
  ['a short queue at a slow engine counts as a long one', { localTokens: 9000, waitMs: 100, slowness: 4 }],
  ['a silent engine is avoided', { localTokens: 9000, isSilent: true }],
  ['a failing engine is avoided', { localTokens: 9000, failureShare: 0.3 }],
  ['outdated weights outweigh cached pieces', { localTokens: 9000, isOutdated: true }],
];
for (const [name, worse] of AVOIDED) {
  test(name, (t) => {
    t.is(place([createEngine('a', worse), idleEngine]).id, 'b');
  });
}

test('a fetch is preferred to a queue at the engine with the pieces, but not to its free cache', (t) => {
  const fetching = createEngine('a', { fetchTokens: 9000 });
  const holding = createEngine('b', { localTokens: 9000 });
  t.is(place([fetching, holding]).id, 'b');
  t.is(place([fetching, { ...holding, waitMs: 200 }]).id, 'a');
});

test('the choice among equal engines does not depend on their order, so all hosts choose the same one', (t) => {
  const engines = ['a', 'b', 'c', 'd'].map((id) => createEngine(id));
  t.is(place(engines).id, place([...engines].reverse()).id);
});

test('the more bytes a call has, the longer the queue at which it is sent to another failure domain', (t) => {
  const far = createEngine('far', { failureDomain: 'south' });
  const placeWith = (waitMs: number, bytes: number): string =>
    place([createEngine('near', { waitMs }), far], 400, bytes).id;
  t.deepEqual([placeWith(8, 1000), placeWith(30, 1000)], ['near', 'far']);
  t.deepEqual([placeWith(30, 16_000), placeWith(60, 16_000)], ['near', 'far']);
});

test('equal engines are chosen in the failure domain of the host, whatever the rendezvous order', (t) => {
  for (const affinityKey of ['p', 'q', 'r', 's', 't']) {
    const engines = ['a', 'b', 'c', 'd'].map((id, index) =>
      createEngine(id, { failureDomain: index < 2 ? 'north' : 'south' }),
    );
    const input = { affinityKey, inputTokens: 100, neededTokens: 100, bytes: 0, outdatedPenaltyMs: 0 };
    const rates = { prefillTokensPerMs: 50, fetchTokensPerMs: 400, runMs: 1000 };
    t.true(['a', 'b'].includes(placeCall({ ...input, candidates: engines, ownDomain: 'north', rates }).id));
    t.true(['c', 'd'].includes(placeCall({ ...input, candidates: engines, ownDomain: 'south', rates }).id));
  }
});

test('the placement states the tokens to prefill and the share of memory in use', (t) => {
  const placed = place([createEngine('a', { localTokens: 4000, fetchTokens: 5000, heldTokens: 37_600 })]);
  t.is(placed.uncachedTokens, 3000);
  t.is(placed.memoryShare, 0.5);
});

test('a plain call is sent to the least loaded server, and among equals to one in the own failure domain', (t) => {
  const server = { failureDomain: 'north', calls: 0, slots: 6, failureShare: 0, isSilent: false };
  const far = { ...server, id: 'far', failureDomain: 'south' };
  const near = { ...server, id: 'near' };
  t.is(placePlainCall([far, near], 'north', 0)?.id, 'near');
  t.is(placePlainCall([far, { ...near, calls: 12 }], 'north', 0)?.id, 'far');
  t.is(placePlainCall([far, { ...near, isSilent: true }], 'north', 0)?.id, 'far');
  t.is(placePlainCall([far, { ...near, slowness: 4 }], 'north', 0)?.id, 'far');
  t.is(placePlainCall([], 'north', 0), undefined);
});

const createServer = (id: string, changes: Partial<PlainCandidate> = {}): PlainCandidate => ({
  id,
  failureDomain: 'north',
  calls: 0,
  slots: 6,
  failureShare: 0,
  isSilent: false,
  outstandingMs: 0,
  ...changes,
});
const placePlain = (callMs: number, candidates: readonly PlainCandidate[]): string | undefined =>
  placePlainCall(candidates, 'north', 0, { callMs, meanMs: 60 })?.id;

test('few large calls count as more work than many small ones', (t) => {
  const large = createServer('large', { calls: 8, outstandingMs: 1600 });
  t.is(placePlain(60, [large, createServer('small', { calls: 10, outstandingMs: 500 })]), 'small');
});

test('a slow server gets small calls when it is idle enough, and large ones only when the others are much longer busy', (t) => {
  const slow = createServer('slow', { slowness: 4 });
  const busy = createServer('busy', { calls: 12, outstandingMs: 700 });
  t.deepEqual([placePlain(20, [slow, busy]), placePlain(300, [slow, busy])], ['slow', 'busy']);
});

test('servers are compared by load while the work of one of them is unknown', (t) => {
  const idle = createServer('idle', { calls: 1, outstandingMs: undefined });
  t.is(placePlain(60, [createServer('busy', { calls: 4 }), idle]), 'idle');
});

test('a server is full only at the known size of its queue, and earlier for less urgent calls', (t) => {
  const isFull = (calls: number, priority: number, queueLimit?: number): boolean =>
    isFullServer(createServer('a', { calls, queueLimit }), priority);
  t.deepEqual([isFull(29, 0, 24), isFull(30, 0, 24), isFull(27, 2, 24)], [false, true, true]);
  t.false(isFull(1000, 2));
});

test('the forecast of full servers counts the calls beyond their queues and their slowness', (t) => {
  const full = createServer('a', { calls: 30, queueLimit: 24 });
  t.deepEqual(estimateCapacity([full], 60), { firstMs: 10, perCallMs: 10 });
  t.deepEqual(estimateCapacity([{ ...full, slowness: 4, calls: 32 }, full], 60), {
    firstMs: 10,
    perCallMs: 8,
  });
});

/**
 * Simulates 120 calls per second with one popular prompt on 8 engines of 4 slots. Each call occupies a slot for 200 ms, so three
 * quarters of the slots are in use. Returns the calls' queueing times in ascending order, milliseconds.
 *
 * @param slots number of slots per engine that `placeCall` is given
 */
const measurePopularPrompt = (slots: number): number[] => {
  const ends = Array.from({ length: 8 }, () => [0, 0, 0, 0]);
  const waits: number[] = [];
  for (let now = 0; now < 5000; now += 1000 / 120) {
    const candidates = ends.map((engine, index) =>
      createEngine(`e${String(index)}`, {
        // Two engines have the prompt cached.
        localTokens: index < 2 ? 11_000 : 0,
        calls: engine.filter((end) => end > now).length,
        slots,
      }),
    );
    const { id } = placeCall({
      candidates,
      affinityKey: 'popular',
      inputTokens: 12_000,
      neededTokens: 100,
      ownDomain: 'north',
      bytes: 0,
      outdatedPenaltyMs: 400,
      rates: { prefillTokensPerMs: 50, fetchTokensPerMs: 400, runMs: 200 },
    });
    const engine = ends[Number(id.slice(1))] ?? [];
    // The call starts when fewer than four earlier calls are unfinished, queued ones included.
    const unfinished = engine.filter((end) => end > now).sort((a, b) => a - b);
    const startMs = unfinished.length < 4 ? now : (unfinished.at(-4) ?? now);
    engine.push(startMs + 200);
    waits.push(startMs - now);
  }
  return waits.sort((a, b) => a - b);
};

test('calls with a popular prompt queue for no longer than its prefill takes at another engine', (t) => {
  const waits = measurePopularPrompt(4);
  const prefillMs = 11_000 / 50;
  t.true((waits.at(-1) ?? Infinity) <= prefillMs + 60);
  t.true((waits[Math.floor(waits.length * 0.95)] ?? Infinity) <= prefillMs);
  const withoutSlotLimit = measurePopularPrompt(1e9);
  t.true((withoutSlotLimit.at(-1) ?? 0) > 10 * prefillMs);
});
