import { readMonotonicMs, waitWithTimeout } from '@laburnumshift/clock';
import type { Logger } from '@laburnumshift/logger';
import type { PlatformClient } from '@laburnumshift/types';
import type { JournalLayout } from './journal-layout.js';
import { loadLayout } from './load-layout.js';

/**
 * Time after a failed read during which calls are refused without another read, milliseconds. Limits the reads during
 * an outage.
 */
const RETRY_DELAY_MS = 500;

/**
 * Creates the cached journal layout of a node. A record is found only in the shard of its key, so nodes with different
 * numbers of shards would permit the same key twice. The stored number is therefore used even if the setting differs.
 *
 * @param shards number from the settings, stored when the platform has none yet
 * @param waitMs how long a call waits for the first read, milliseconds
 */
export function createJournalLayout(
  platform: PlatformClient,
  shards: number,
  waitMs: number,
  logger: Logger,
): JournalLayout {
  let shardCount: number | undefined;
  let lastFailureMs = -Infinity;
  let hasWarned = false;
  let loading: Promise<number | undefined> | undefined;

  const loadOnce = async (): Promise<number | undefined> => {
    const loaded = await loadLayout(platform, shards).catch(String);
    loading = undefined;
    if (typeof loaded === 'string') {
      lastFailureMs = readMonotonicMs();
      if (!hasWarned)
        logger.warn('cannot read the journal layout; non-idempotent calls are refused until it is read', {
          reason: loaded,
        });
      hasWarned = true;
      return undefined;
    }
    shardCount = loaded;
    if (loaded !== shards) {
      logger.error('the stored number of shards differs from the setting; using the stored number', {
        stored: loaded,
        setting: shards,
      });
    }
    return shardCount;
  };
  return {
    getShardCount: async () => {
      if (shardCount !== undefined) return shardCount;
      if (loading === undefined && readMonotonicMs() - lastFailureMs < RETRY_DELAY_MS) return undefined;
      loading ??= loadOnce();
      return waitWithTimeout(loading, waitMs);
    },
  };
}
