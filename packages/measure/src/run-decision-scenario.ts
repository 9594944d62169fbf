import { readMonotonicMs } from '@laburnumshift/clock';
import { BASELINES, placeRequest } from '@laburnumshift/place-request';
import type { PlacementInput, PlacementPolicy } from '@laburnumshift/place-request';
import { createRandom } from './create-random.js';

const PIECES = 128;
const ROUNDS = 4000;
const WARMUP_ROUNDS = 1000;
const US_PER_MS = 1000;
const FLEETS = [4, 8, 16, 24, 32, 48];
const LIMIT_US = 200;

/** Measures the time of one decision by fleet size, in microseconds and as a ratio to the smallest fleet. */
export function runDecisionScenario(seed: number): unknown {
  const policies: Record<string, PlacementPolicy> = { own: placeRequest, ...BASELINES };
  const fleets = FLEETS.map((engines) => {
    const inputs = generateInputs(engines, seed);
    const times = Object.entries(policies).map(
      ([name, policy]) => [name, measurePolicy(policy, inputs)] as const,
    );
    return { engines, microseconds: Object.fromEntries(times) };
  });
  const smallest = fleets[0]?.microseconds.own?.p50 ?? 1;
  const at32 = fleets.find(({ engines }) => engines === 32)?.microseconds.own?.p50 ?? Infinity;
  return {
    pieces: PIECES,
    fleets: fleets.map((fleet) => ({
      ...fleet,
      ratioToSmallest: (fleet.microseconds.own?.p50 ?? Infinity) / smallest,
    })),
    targets: [
      {
        target: 'median of a decision, 32 engines, us',
        limit: LIMIT_US,
        measured: at32,
        met: at32 <= LIMIT_US,
      },
    ],
  };
}

function measurePolicy(
  policy: PlacementPolicy,
  inputs: readonly PlacementInput[],
): { p50: number; p99: number } {
  const times: number[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    const input = inputs[round % inputs.length];
    if (input === undefined) break;
    const beganMs = readMonotonicMs();
    policy(input);
    if (round >= WARMUP_ROUNDS) times.push((readMonotonicMs() - beganMs) * US_PER_MS);
  }
  times.sort((a, b) => a - b);
  const pick = (part: number): number => times[Math.floor(times.length * part)] ?? 0;
  return { p50: pick(0.5), p99: pick(0.99) };
}

/** Generates prompts of 128 pieces, partly cached on half of the engines and stored on two tiers of two stores. */
function generateInputs(engines: number, seed: number): PlacementInput[] {
  const random = createRandom(seed);
  const pieces = Array.from({ length: PIECES }, (_, index) => ({ chain: `c${String(index)}`, tokens: 2000 }));
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
        suspects: 0,
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
      stickyKey: 'c0',
      turn,
    };
  });
}
