import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import type { StoreStat } from '@laburnumshift/types';
import type { CellState } from './cell-state.js';
import { CELL_TIMES } from './cell-times.js';
import { isStopped } from './is-stopped.js';
import type { StoreRecord } from './store-record.js';

const countBytes = ({ memoryUsed, diskUsed }: StoreStat): number => memoryUsed + diskUsed;
/** True when the store has more bytes than at its last list and the exports since then explain: another home wrote to it. */
const hasForeignPieces = (record: StoreRecord, stat: StoreStat): boolean =>
  countBytes(stat) > record.listedBytes + record.exported.reduce((sum, { bytes }) => sum + bytes, 0);

/** Follows a store until its record is stopped. A store that fails is forgotten at once and listed again when it is back. */
export async function watchStore(state: CellState, record: StoreRecord): Promise<void> {
  const { signal } = record.stopper;
  const { directory, logger } = state.options;
  /** Shortest pause until the next list; the usual one is longer. */
  let minListMs: number = CELL_TIMES.foreignListMs;
  while (!isStopped(record)) {
    const result = await record.client.readStat();
    if (isStopped(record)) return;
    const nowMs = readMonotonicMs();
    if (result.ok) {
      record.stat = result.value;
      record.failures = 0;
      record.queuedBytes = Math.max(result.value.linkQueuedBytes, 0);
      record.queuedAtMs = nowMs;
      const listMs = hasForeignPieces(record, result.value)
        ? minListMs
        : Math.max(CELL_TIMES.listEveryMs, minListMs);
      if (record.listedAtMs === undefined || nowMs - record.listedAtMs > listMs) {
        record.exported = [];
        const pieces = await record.client.listPieces();
        if (pieces.ok) {
          directory.replaceStore(record.host.name, pieces.value);
          for (const piece of record.exported) directory.recordStored(piece);
          record.listedAtMs = nowMs;
          record.listedBytes = countBytes(result.value);
          minListMs = Math.max(CELL_TIMES.foreignListMs, pieces.value.length * CELL_TIMES.listPieceMs);
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
