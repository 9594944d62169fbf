import { readMonotonicMs, waitWithTimeout } from '@laburnumshift/clock';
import type { Logger } from '@laburnumshift/logger';
import type { PlatformClient } from '@laburnumshift/types';
import type { Layout } from './layout.js';
import { loadLayout } from './load-layout.js';

/** After a failed read, calls are refused at once for this long, which also bounds the reads during an outage. */
const RETRY_MS = 500;

/**
 * Creates the layout of a node. A record is found only by the shard of its key, so nodes with different numbers of shards
 * would permit a key twice. The stored number is therefore used whatever the setting says.
 *
 * @param shards number of the settings, stored when the platform has none yet
 * @param waitMs time that a call waits for the first read, milliseconds
 */
export function createLayout(
  platform: PlatformClient,
  shards: number,
  waitMs: number,
  logger: Logger,
): Layout {
  let known: number | undefined;
  let failedMs = -Infinity;
  let isWarned = false;
  let loading: Promise<number | undefined> | undefined;

  const loadOnce = async (): Promise<number | undefined> => {
    const loaded = await loadLayout(platform, shards).catch(String);
    loading = undefined;
    if (typeof loaded === 'string') {
      failedMs = readMonotonicMs();
      if (!isWarned)
        logger.warn('non-idempotent calls wait for the layout of the journal', { reason: loaded });
      isWarned = true;
      return undefined;
    }
    known = loaded;
    if (loaded !== shards) {
      logger.error('uses the stored number of shards and not the one of the settings', {
        stored: loaded,
        setting: shards,
      });
    }
    return known;
  };
  return {
    findShards: async () => {
      if (known !== undefined) return known;
      if (loading === undefined && readMonotonicMs() - failedMs < RETRY_MS) return undefined;
      loading ??= loadOnce();
      return waitWithTimeout(loading, waitMs);
    },
  };
}
