import { readMonotonicMs } from '@laburnumshift/clock';
import { chooseCandidateCells, MAX_ENGINES_PER_CELL } from '@laburnumshift/manage-cell';
import { BASELINE_POLICIES, placeRequest } from '@laburnumshift/place-request';
import type { PlacementInput, PlacementPolicy } from '@laburnumshift/place-request';
import { generateInputs } from './generate-inputs.js';

const PIECES = 128;
const ROUNDS = 4000;
const WARMUP_ROUNDS = 1000;
const US_PER_MS = 1000;
/** Engines that one decision looks at. */
const CELLS = [4, 8, 16, 24, 32];
/** Engines of a pool; a decision looks at one cell of them. */
const POOLS = [24, 240, 1200, 12_000];
const LIMIT_US = 200;
/** A larger ratio would not count as flat. */
const FLAT_RATIO = 1.25;

/**
 * Measures the time of one decision in microseconds: by engines in a cell, and by engines in a pool that is split into cells,
 * where choosing the cell is part of it. Ratios are to the smallest size of the same run.
 */
export function runDecisionScenario(seed: number): unknown {
  const policies: Record<string, PlacementPolicy> = { own: placeRequest, ...BASELINE_POLICIES };
  const cellRuns = CELLS.flatMap((engines) => {
    const inputs = generateInputs(engines, PIECES, seed);
    return Object.entries(policies).map(([name, policy]) => ({ engines, name, policy, inputs }));
  });
  const cellTimes = measureRuns(cellRuns);
  const cells = CELLS.map((engines) => ({
    engines,
    microseconds: Object.fromEntries(
      cellTimes.filter(({ run }) => run.engines === engines).map(({ run, times }) => [run.name, times]),
    ),
  }));
  const inputs = generateInputs(MAX_ENGINES_PER_CELL, PIECES, seed);
  const poolRuns = POOLS.map((engines) => {
    const count = Math.ceil(engines / MAX_ENGINES_PER_CELL);
    const placeInPool: PlacementPolicy = (input) => {
      chooseCandidateCells('pool', `prompt-${String(input.decisionCount)}`, count);
      return placeRequest(input);
    };
    return { engines, count, policy: placeInPool, inputs };
  });
  const pools = measureRuns(poolRuns).map(({ run, times }) => ({
    engines: run.engines,
    cells: run.count,
    microseconds: times,
  }));
  const at32 = cells.find(({ engines }) => engines === 32)?.microseconds.own?.p50 ?? Infinity;
  const smallest = pools[0]?.microseconds.p50 ?? Infinity;
  const growth = Math.max(...pools.map(({ microseconds }) => microseconds.p50 / smallest));
  return {
    pieces: PIECES,
    cells: cells.map((cell) => ({
      ...cell,
      ratioToSmallest: (cell.microseconds.own?.p50 ?? Infinity) / (cells[0]?.microseconds.own?.p50 ?? 1),
    })),
    pools: pools.map((pool) => ({ ...pool, ratioToSmallest: pool.microseconds.p50 / smallest })),
    targets: [
      { target: 'median, 32 engines, us', limit: LIMIT_US, measured: at32, met: at32 <= LIMIT_US },
      {
        target: 'median for 12,000 engines over 24',
        limit: FLAT_RATIO,
        measured: growth,
        met: growth <= FLAT_RATIO,
      },
    ],
  };
}

/** Times each run's decisions. The runs take turns, so that a busy moment of the machine falls on all of them. */
function measureRuns<
  T extends { readonly policy: PlacementPolicy; readonly inputs: readonly PlacementInput[] },
>(runs: readonly T[]): { readonly run: T; readonly times: { readonly p50: number; readonly p99: number } }[] {
  const measured = runs.map((run) => ({ run, times: [] as number[] }));
  for (let round = 0; round < ROUNDS; round += 1) {
    for (const { run, times } of measured) {
      const input = run.inputs[round % run.inputs.length];
      if (input === undefined) continue;
      const beganMs = readMonotonicMs();
      run.policy(input);
      if (round >= WARMUP_ROUNDS) times.push((readMonotonicMs() - beganMs) * US_PER_MS);
    }
  }
  return measured.map(({ run, times }) => {
    times.sort((a, b) => a - b);
    const pick = (part: number): number => times[Math.floor(times.length * part)] ?? 0;
    return { run, times: { p50: pick(0.5), p99: pick(0.99) } };
  });
}
