import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import type { StoreStat } from '@laburnumshift/types';
import type { CellState } from './cell-state.js';
import { CELL_TIMING } from './cell-timing.js';
import { isStopped } from './is-stopped.js';
import type { StoreRecord } from './store-record.js';

const computeUsedBytes = ({ memoryUsed, diskUsed }: StoreStat): number => memoryUsed + diskUsed;
/**
 * Returns true when the store uses more bytes than its last list and the exports since then account for, which means that
 * another home wrote to it.
 */
const hasUnlistedPieces = (record: StoreRecord, stat: StoreStat): boolean =>
  computeUsedBytes(stat) >
  record.usedBytesAtList + record.exportedSinceList.reduce((sum, { bytes }) => sum + bytes, 0);

/**
 * Reads a store's statistics and lists its pieces until its record is stopped. When a read of the statistics fails, the pieces
 * of the store are removed from the directory at once; they are listed again when it answers.
 */
export async function watchStore(state: CellState, record: StoreRecord): Promise<void> {
  const { signal } = record.abortController;
  const { directory, logger } = state.options;
  /** Least interval until the next list, milliseconds; bounds the cost of listing many pieces. */
  let minListMs: number = CELL_TIMING.minStoreListIntervalMs;
  while (!isStopped(record)) {
    const result = await record.client.readStat();
    if (isStopped(record)) return;
    const nowMs = readMonotonicMs();
    if (result.ok) {
      record.stat = result.value;
      record.failures = 0;
      record.queuedBytes = Math.max(result.value.linkQueuedBytes, 0);
      record.queuedAtMs = nowMs;
      const listMs = hasUnlistedPieces(record, result.value)
        ? minListMs
        : Math.max(CELL_TIMING.storeListIntervalMs, minListMs);
      if (record.listedAtMs === undefined || nowMs - record.listedAtMs > listMs) {
        record.exportedSinceList = [];
        const pieces = await record.client.listPieces();
        if (pieces.ok) {
          directory.replaceStore(record.host.name, pieces.value);
          for (const piece of record.exportedSinceList) directory.recordStoredPiece(piece);
          record.listedAtMs = nowMs;
          record.usedBytesAtList = computeUsedBytes(result.value);
          minListMs = Math.max(
            CELL_TIMING.minStoreListIntervalMs,
            pieces.value.length * CELL_TIMING.storeListMsPerPiece,
          );
        }
      }
    } else {
      record.failures += 1;
      if (record.failures === 1)
        logger.warn('could not read the statistics of a store', { store: record.host.name });
      directory.removeStore(record.host.name);
      record.listedAtMs = undefined;
    }
    await sleep(CELL_TIMING.statPollIntervalMs, signal);
  }
}
