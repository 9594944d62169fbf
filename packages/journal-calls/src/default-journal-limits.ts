import type { JournalLimits } from './journal-limits.js';

/** Default limits of a node. `maxViewAgeMs` must be far below the shortest retention, see `loadShard`. */
export const DEFAULT_JOURNAL_LIMITS: JournalLimits = {
  sealThresholdChars: 16 * 1024,
  maxBatchChars: 512 * 1024,
  maxQueuedRequests: 20_000,
  maxAnswerBytes: 4096,
  maxEntries: 20_000,
  maxViewBytes: 16 * 1024 * 1024,
  maxScannedObjects: 400,
  maxClockSkewMs: 60_000,
  maxAttemptMs: 120_000,
  confirmTimeoutMs: 2000,
  recordRetryMs: 30_000,
  homeTimeoutMs: 1000,
  maxViewAgeMs: 30_000,
  cleanupIntervalMs: 60_000,
};
