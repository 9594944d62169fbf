import { readMonotonicMs } from '@laburnumshift/clock';
import { buildEngineState } from './build-engine-state.js';
import type { CellState } from './cell-state.js';
import type { CellStatus } from './cell-status.js';
import { estimateLink } from './estimate-link.js';

/** Builds the status of a cell for operators. Queue times count work of every priority. */
export function buildStatus(state: CellState, queue: Readonly<Record<string, number>>): CellStatus {
  const nowMs = readMonotonicMs();
  return {
    pool: state.pool.name,
    cell: state.options.cell,
    engines: [...state.engines.values()].map((record) => {
      const { name, usable, weightVersion, running, slots, queueMs } = buildEngineState(
        state,
        record,
        nowMs,
        'bulk',
      );
      return {
        name,
        usable,
        leaving: record.leavingByHostList || record.leavingByReply || (record.load?.leaving ?? false),
        weightVersion,
        running,
        slots,
        queueMs,
        prefillTokensPerSecond: record.prefillRate,
        decodeTokensPerSecond: record.decodeRate,
        estimateError: record.estimateError,
      };
    }),
    stores: [...state.stores.values()].map((record) => {
      const { usable, queueMs, bytesPerSecond } = estimateLink(record, nowMs);
      const { name } = record.host;
      return {
        name,
        usable,
        linkQueueMs: queueMs,
        bytesPerSecond,
        exportsWaiting: record.pendingExports.length,
      };
    }),
    queue,
    directory: state.options.directory.getCounts(),
  };
}
