import type { SimulationOptions } from './simulation-options.js';

const MIB = 1024 ** 2;
const MINUTE_MS = 60_000;

/**
 * Default simulation: four engines that evict a prompt after about two minutes, a store that holds about half of the
 * prompts in use, scripts that return several times after minutes, and reviews that rarely return.
 */
export const DEFAULT_SIMULATION: Omit<SimulationOptions, 'seed'> = {
  durationMs: 240 * MINUTE_MS,
  warmUpMs: 90 * MINUTE_MS,
  services: [
    {
      name: 'scripts',
      meanArrivalIntervalMs: MINUTE_MS,
      pieces: [10, 30],
      maxGrowthPieces: 2,
      returnProbability: 0.85,
      medianGapMs: 8 * MINUTE_MS,
      gapLogStdDev: 0.5,
    },
    {
      name: 'reviews',
      meanArrivalIntervalMs: 6_000,
      pieces: [3, 8],
      maxGrowthPieces: 1,
      returnProbability: 0.15,
      medianGapMs: 40 * MINUTE_MS,
      gapLogStdDev: 0.8,
    },
  ],
  accounts: { a1: 30, a2: 25, a3: 15, a4: 5, a5: 5, a6: 4, a7: 4, a8: 4, a9: 4, a10: 4 },
  engines: 4,
  engineCachePieces: 60,
  pieceBytes: MIB,
  pieceTokens: 2_000,
  prefillTokensPerSecond: 20_000,
  memoryPieces: 200,
  diskPieces: 600,
  linkBytesPerSecond: 20 * MIB,
  diskBytesPerSecond: 15 * MIB,
  quotaPieces: 400,
};
