import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import type { CellState } from './cell-state.js';
import { CELL_TIMES } from './cell-times.js';
import { isStopped } from './is-stopped.js';
import type { StoreRecord } from './store-record.js';

/** Follows a store until its record is stopped. A store that fails is forgotten at once and listed again when it is back. */
export async function watchStore(state: CellState, record: StoreRecord): Promise<void> {
  const { signal } = record.stopper;
  const { directory, logger } = state.options;
  let listMs: number = CELL_TIMES.listEveryMs;
  while (!isStopped(record)) {
    const result = await record.client.readStat();
    if (isStopped(record)) return;
    const nowMs = readMonotonicMs();
    if (result.ok) {
      record.stat = result.value;
      record.failures = 0;
      record.queuedBytes = Math.max(result.value.linkQueuedBytes, 0);
      record.queuedAtMs = nowMs;
      if (record.listedAtMs === undefined || nowMs - record.listedAtMs > listMs) {
        record.exported = [];
        const pieces = await record.client.listPieces();
        if (pieces.ok) {
          directory.replaceStore(record.host.name, pieces.value);
          for (const piece of record.exported) directory.recordStored(piece);
          record.listedAtMs = nowMs;
          listMs = Math.max(CELL_TIMES.listEveryMs, pieces.value.length * CELL_TIMES.listPieceMs);
        }
      }
    } else {
      record.failures += 1;
      if (record.failures === 1) logger.warn('store does not answer', { store: record.host.name });
      directory.removeStore(record.host.name);
      record.listedAtMs = undefined;
    }
    await sleep(CELL_TIMES.statEveryMs, signal);
  }
}
