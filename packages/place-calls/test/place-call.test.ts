import { placeCall, placePlainCall, type EngineCandidate } from '@laburnumshift/place-calls';
import test from 'ava';
import { createEngine } from './create-engine.js';

const place = (candidates: readonly EngineCandidate[], outdatedMs = 400, bytes = 0) =>
  placeCall({
    candidates,
    homeKey: 'piece',
    inputTokens: 12_000,
    needTokens: 12_400,
    ownDomain: 'north',
    bytes,
    outdatedMs,
    rates: { readPerMs: 50, fetchPerMs: 400, runMs: 1000 },
  });
const other = createEngine('b');

const CASES: readonly (readonly [name: string, better: Partial<EngineCandidate>])[] = [
  ['an engine that has the prompt cached goes before one that has to read it', { localTokens: 9000 }],
  ['an engine that can fetch goes before one that has to read', { fetchTokens: 9000 }],
];
for (const [name, better] of CASES) {
  test(name, (t) => {
    t.is(place([other, createEngine('a', better)]).id, 'a');
  });
}

const WORSE: readonly (readonly [name: string, worse: Partial<EngineCandidate>])[] = [
  ['a long queue outweighs cached pieces', { localTokens: 9000, waitMs: 900 }],
  ['reading is better than a fetch over a full link', { fetchTokens: 9000, fetchSlowdown: 20 }],
  ['a full memory outweighs cached pieces', { localTokens: 9000, heldTokens: 95_000 }],
  ['calls that wait for a slot outweigh cached pieces', { localTokens: 9000, calls: 15 }],
  ['a silent engine is avoided', { localTokens: 9000, isSilent: true }],
  ['a failing engine is avoided', { localTokens: 9000, failureShare: 0.3 }],
  ['outdated weights outweigh cached pieces', { localTokens: 9000, isOutdated: true }],
];
for (const [name, worse] of WORSE) {
  test(name, (t) => {
    t.is(place([createEngine('a', worse), other]).id, 'b');
  });
}

test('a fetch is better than a second read and worse than the own cache', (t) => {
  const fetching = createEngine('a', { fetchTokens: 9000 });
  const holding = createEngine('b', { localTokens: 9000 });
  t.is(place([fetching, holding]).id, 'b');
  t.is(place([fetching, { ...holding, waitMs: 200 }]).id, 'a');
});

test('all hosts choose alike among equal engines, whatever the order', (t) => {
  const engines = ['a', 'b', 'c', 'd'].map((id) => createEngine(id));
  t.is(place(engines).id, place([...engines].reverse()).id);
});

test('the more bytes a call has, the longer it queues before it leaves its failure domain', (t) => {
  const far = createEngine('far', { failureDomain: 'south' });
  const placeWith = (waitMs: number, bytes: number): string =>
    place([createEngine('near', { waitMs }), far], 400, bytes).id;
  t.deepEqual([placeWith(8, 1000), placeWith(30, 1000)], ['near', 'far']);
  t.deepEqual([placeWith(30, 16_000), placeWith(60, 16_000)], ['near', 'far']);
});

test('the home of a prompt is in the failure domain of its host', (t) => {
  for (const homeKey of ['p', 'q', 'r', 's', 't']) {
    const engines = ['a', 'b', 'c', 'd'].map((id, index) =>
      createEngine(id, { failureDomain: index < 2 ? 'north' : 'south' }),
    );
    const input = { homeKey, inputTokens: 100, needTokens: 100, bytes: 0, outdatedMs: 0 };
    const rates = { readPerMs: 50, fetchPerMs: 400, runMs: 1000 };
    t.true(['a', 'b'].includes(placeCall({ ...input, candidates: engines, ownDomain: 'north', rates }).id));
    t.true(['c', 'd'].includes(placeCall({ ...input, candidates: engines, ownDomain: 'south', rates }).id));
  }
});

test('what an engine has to read and its memory are told', (t) => {
  const placed = place([createEngine('a', { localTokens: 4000, fetchTokens: 5000, heldTokens: 37_600 })]);
  t.is(placed.uncachedTokens, 3000);
  t.is(placed.memoryShare, 0.5);
});

test('a plain call goes to the least loaded server, to a near one among equals', (t) => {
  const server = { failureDomain: 'north', calls: 0, slots: 6, failureShare: 0, isSilent: false };
  const far = { ...server, id: 'far', failureDomain: 'south' };
  const near = { ...server, id: 'near' };
  t.is(placePlainCall([far, near], 'north', 0)?.id, 'near');
  t.is(placePlainCall([far, { ...near, calls: 12 }], 'north', 0)?.id, 'far');
  t.is(placePlainCall([far, { ...near, isSilent: true }], 'north', 0)?.id, 'far');
  t.is(placePlainCall([], 'north', 0), undefined);
});

/**
 * Plays calls for one popular prompt, 120 a second, on 8 engines of 4 slots; each takes a slot for 200 ms. Three quarters of the
 * slots are needed. Returns the wait of each caller for a slot.
 *
 * @param slots what the placement believes
 */
const measurePopularPrompt = (slots: number): number[] => {
  const ends = Array.from({ length: 8 }, () => [0, 0, 0, 0]);
  const waits: number[] = [];
  for (let now = 0; now < 5000; now += 1000 / 120) {
    const candidates = ends.map((engine, index) =>
      createEngine(`e${String(index)}`, {
        // The first engines have the prompt.
        localTokens: index < 2 ? 11_000 : 0,
        calls: engine.filter((end) => end > now).length,
        slots,
      }),
    );
    const { id } = placeCall({
      candidates,
      homeKey: 'popular',
      inputTokens: 12_000,
      needTokens: 100,
      ownDomain: 'north',
      bytes: 0,
      outdatedMs: 400,
      rates: { readPerMs: 50, fetchPerMs: 400, runMs: 200 },
    });
    const engine = ends[Number(id.slice(1))] ?? [];
    // The slot that is free first; queued calls are counted by their ends.
    const running = engine.filter((end) => end > now).sort((a, b) => a - b);
    const startMs = running.length < 4 ? now : (running.at(-4) ?? now);
    engine.push(startMs + 200);
    waits.push(startMs - now);
  }
  return waits.sort((a, b) => a - b);
};

test('callers of a prompt that everybody asks for wait less than it takes to read it elsewhere', (t) => {
  const waits = measurePopularPrompt(4);
  const readMs = 11_000 / 50;
  t.true((waits.at(-1) ?? Infinity) <= readMs + 60);
  t.true((waits[Math.floor(waits.length * 0.95)] ?? Infinity) <= readMs);
  const unaware = measurePopularPrompt(1e9);
  t.true((unaware.at(-1) ?? 0) > 10 * readMs);
});
