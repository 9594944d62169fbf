import { pickCandidates, placeCall } from '@laburnumshift/place-calls';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import test from 'ava';
import { createEngine } from './create-engine.js';

const ENGINES = Array.from({ length: 98 }, (_, index) => ({ id: `e${String(index)}` }));
const createRandom = (): (() => number) => {
  const generator = xoroshiro128plus(7);
  return () => uniformFloat64(generator);
};

test('all engines of a small service are candidates', (t) => {
  t.is(pickCandidates(ENGINES.slice(0, 16), 'k', () => false, createRandom()).length, 16);
});

test('of many engines the candidates are few and distinct and include one that has the prompt cached', (t) => {
  const random = createRandom();
  const picked = Array.from({ length: 200 }, () =>
    pickCandidates(ENGINES, 'k', ({ id }) => id === 'e50', random),
  );
  for (const engines of picked) {
    t.true(engines.length <= 13);
    t.is(new Set(engines).size, engines.length);
    t.true(engines.some(({ id }) => id === 'e50'));
  }
  const alwaysPicked = ENGINES.filter((engine) => picked.every((engines) => engines.includes(engine)));
  t.deepEqual(alwaysPicked, [{ id: 'e50' }]);
  t.is(new Set(picked.flat()).size, ENGINES.length);
});

/**
 * Simulates 620 calls per second on engines that prefill 64 tokens per millisecond, with known loads up to 300 ms old. Returns the 95th
 * percentile of the calls' queueing times, milliseconds.
 */
const measureWaits = (
  pick: (engines: typeof ENGINES, key: string) => readonly (typeof ENGINES)[number][],
) => {
  const random = createRandom();
  const freeMs = new Map(ENGINES.map(({ id }) => [id, 0]));
  let knownWaits = new Map<string, number>();
  let knownAtMs = -Infinity;
  const waits: number[] = [];
  for (let call = 0; call < 4000; call += 1) {
    const now = (call * 1000) / 620;
    if (now - knownAtMs > 300) {
      knownWaits = new Map([...freeMs].map(([id, free]) => [id, Math.max(0, free - now)]));
      knownAtMs = now;
    }
    const key = `prompt-${String(Math.floor(random() * 40))}`;
    const { id } = placeCall({
      candidates: pick(ENGINES, key).map((engine) =>
        createEngine(engine.id, { waitMs: knownWaits.get(engine.id) ?? 0, capacityTokens: 81_390 }),
      ),
      affinityKey: key,
      inputTokens: 5000,
      neededTokens: 5000,
      ownDomain: 'north',
      bytes: 0,
      outdatedPenaltyMs: 0,
      rates: { prefillTokensPerMs: 64, fetchTokensPerMs: 400, runMs: 800 },
    });
    const startMs = Math.max(now, freeMs.get(id) ?? 0);
    freeMs.set(id, startMs + 5000 / 64);
    waits.push(startMs - now);
  }
  waits.sort((a, b) => a - b);
  return waits[Math.floor(waits.length * 0.95)] ?? Infinity;
};

test('with old load reports, comparing few engines per call avoids queues at the engines that looked idle', (t) => {
  const random = createRandom();
  const fewMs = measureWaits((engines, key) => pickCandidates(engines, key, () => false, random));
  const allMs = measureWaits((engines) => engines);
  t.true(fewMs < 500, `${String(fewMs)} ms; with all engines compared ${String(allMs)} ms`);
  t.true(fewMs < allMs / 2, `${String(fewMs)} ms; with all engines compared ${String(allMs)} ms`);
});
