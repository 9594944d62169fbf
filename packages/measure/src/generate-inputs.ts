import type { PlacementInput } from '@laburnumshift/place-request';
import { createRandom } from '@laburnumshift/measure-daemons';

/** Generates prompts, partly cached on half of the engines and stored on two tiers of two stores. */
export function generateInputs(engines: number, count: number, seed: number): PlacementInput[] {
  const random = createRandom(seed);
  const pieces = Array.from({ length: count }, (_, index) => ({ chain: `c${String(index)}`, tokens: 2000 }));
  return Array.from({ length: 64 }, (_, turn) => {
    const names = Array.from({ length: engines }, (_unused, index) => `e${String(index)}`);
    const stored = pieces.map((_piece, index) => (index > 100 ? -1 : random.pickInteger(0, 3)));
    const sources = ['s0', 's1'].flatMap((store) =>
      (['memory', 'disk'] as const).map((tier) => ({
        store,
        tier,
        queueMs: random.pickInteger(0, 300),
        bytesPerSecond: tier === 'memory' ? 1.25e9 : 6e8,
      })),
    );
    const prefix = new Map(
      names.filter(() => random.pickUniform() < 0.5).map((name) => [name, random.pickInteger(1, 100)]),
    );
    return {
      engines: names.map((name) => ({
        name,
        url: '',
        weightVersion: 'v1',
        usable: true,
        suspectsInFlight: 0,
        running: random.pickInteger(0, 8),
        slots: 8,
        queueMs: random.pickInteger(0, 2000),
        prefillTokensPerSecond: random.pickInteger(7000, 9000),
      })),
      pieces,
      pieceBytes: 64 * 1024 * 1024,
      caches: new Map([['v1', { prefix, sources, stored }]]),
      weights: { perMs: 1, perKiloTokenRecomputed: 2, perMebibyteMoved: 0.05 },
      exclude: [],
      suspect: false,
      affinityKey: 'c0',
      decisionCount: turn,
    };
  });
}
