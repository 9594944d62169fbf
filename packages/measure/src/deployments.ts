import type { Deployment } from './deployment.js';

const MINUTE_MS = 60_000;
/** A piece of 2,000 tokens at 32 KiB for each token. */
const PIECE_BYTES = 64 * 1024 * 1024;

// At 60 a piece counts as 120 ms, so a head is computed during an import only when that saves more time. At 30 the share
// recomputed at half load was 0.095 instead of 0.049 (repair-counter, seed 1).
const TIME_FIRST = { perMs: 1, perKiloTokenRecomputed: 60, perMebibyteMoved: 0.05 };
const PATIENT = { perMs: 0.05, perKiloTokenRecomputed: 60, perMebibyteMoved: 0.05 };
const REUSE_FIRST = { perMs: 0.3, perKiloTokenRecomputed: 30, perMebibyteMoved: 0.05 };

const HARDWARE = {
  slots: 8,
  urgentSlots: 1,
  prefillTokensPerSecond: 8000,
  decodeTokensPerSecond: 40,
  // Refilled in about two minutes at the steady load, while the median gap is six minutes and more.
  enginePieces: 300,
  pieceBytes: PIECE_BYTES,
  pieceTokens: 2000,
  linkBytesPerSecond: 1.25e9,
  diskBytesPerSecond: 0.6e9,
};

/** The deployments by scenario name. */
export const DEPLOYMENTS: Readonly<Record<'repair-counter' | 'night-walk', Deployment>> = {
  'repair-counter': {
    ...HARDWARE,
    engines: 6,
    memoryPieces: 1500,
    diskPieces: 4500,
    heaviest: 'ttft',
    classes: [
      {
        service: 'stock-check',
        priority: 'urgent',
        startsPerSecond: 1.2,
        pieces: [0, 0],
        sharedPieces: 0,
        returnChance: 0,
        gapMs: 0,
        outputTokens: 10,
        deadlineMs: 4000,
        weights: TIME_FIRST,
      },
      {
        service: 'job-status',
        priority: 'normal',
        startsPerSecond: 0.3,
        pieces: [1, 2],
        sharedPieces: 0,
        returnChance: 0.3,
        gapMs: 5 * MINUTE_MS,
        outputTokens: 60,
        deadlineMs: 20_000,
        weights: TIME_FIRST,
      },
      {
        service: 'quote',
        priority: 'normal',
        startsPerSecond: 0.14,
        pieces: [6, 18],
        sharedPieces: 1,
        returnChance: 0.75,
        gapMs: 6 * MINUTE_MS,
        outputTokens: 150,
        deadlineMs: 40_000,
        weights: TIME_FIRST,
      },
      {
        service: 'part-match',
        priority: 'normal',
        startsPerSecond: 0.25,
        pieces: [3, 8],
        sharedPieces: 1,
        returnChance: 0.4,
        gapMs: 6 * MINUTE_MS,
        outputTokens: 60,
        deadlineMs: 30_000,
        weights: TIME_FIRST,
      },
      {
        service: 'garment-history',
        priority: 'bulk',
        startsPerSecond: 0.05,
        pieces: [30, 90],
        sharedPieces: 0,
        returnChance: 0.4,
        gapMs: 10 * MINUTE_MS,
        outputTokens: 300,
        deadlineMs: 240_000,
        weights: PATIENT,
      },
    ],
  },
  'night-walk': {
    ...HARDWARE,
    engines: 8,
    memoryPieces: 800,
    diskPieces: 2400,
    heaviest: 'recomputed',
    classes: [
      {
        service: 'seat-list',
        priority: 'urgent',
        startsPerSecond: 1,
        pieces: [0, 0],
        sharedPieces: 0,
        returnChance: 0,
        gapMs: 0,
        outputTokens: 10,
        deadlineMs: 4000,
        weights: TIME_FIRST,
      },
      {
        service: 'guest-question',
        priority: 'normal',
        startsPerSecond: 0.5,
        pieces: [2, 5],
        sharedPieces: 2,
        returnChance: 0.5,
        gapMs: 6 * MINUTE_MS,
        outputTokens: 80,
        deadlineMs: 20_000,
        weights: REUSE_FIRST,
      },
      {
        service: 'script',
        priority: 'normal',
        startsPerSecond: 0.055,
        pieces: [30, 80],
        sharedPieces: 15,
        returnChance: 0.75,
        gapMs: 8 * MINUTE_MS,
        outputTokens: 300,
        deadlineMs: 60_000,
        weights: REUSE_FIRST,
      },
      {
        service: 'review-tag',
        priority: 'bulk',
        startsPerSecond: 1,
        pieces: [1, 2],
        sharedPieces: 0,
        returnChance: 0,
        gapMs: 0,
        outputTokens: 10,
        deadlineMs: 120_000,
        weights: PATIENT,
      },
    ],
  },
};
