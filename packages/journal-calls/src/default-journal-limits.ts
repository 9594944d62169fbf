import type { JournalLimits } from './journal-limits.js';

/** Default limits of a node. `staleMs` must be far below the shortest retention, see `loadShard`. */
export const DEFAULT_JOURNAL_LIMITS: JournalLimits = {
  sealBytes: 16 * 1024,
  maxBatchBytes: 512 * 1024,
  maxQueue: 20_000,
  maxAnswerBytes: 4096,
  maxEntries: 20_000,
  maxViewBytes: 16 * 1024 * 1024,
  maxScan: 400,
  skewMs: 60_000,
  maxAttemptMs: 120_000,
  confirmMs: 2000,
  keepTryingMs: 30_000,
  homeMs: 1000,
  staleMs: 30_000,
  cleanMs: 60_000,
};
