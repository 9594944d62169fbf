import { readMonotonicMs } from '@laburnumshift/clock';
import type { StoreHost } from '@laburnumshift/types';
import type { CellOptions } from './cell-options.js';
import type { StoreRecord } from './store-record.js';

/** Creates the record of a store that has not answered yet. */
export function createStoreRecord(host: StoreHost, options: CellOptions): StoreRecord {
  const nowMs = readMonotonicMs();
  return {
    host,
    client: options.createStoreClient(host),
    abortController: new AbortController(),
    stat: undefined,
    failures: 0,
    exportedSinceList: [],
    listedAtMs: undefined,
    usedBytesAtList: 0,
    backoffUntilMs: 0,
    queuedBytes: 0,
    queuedAtMs: nowMs,
    rateScale: 1,
    rateScaleAtMs: nowMs,
    pendingExports: [],
    isExporting: false,
  };
}
