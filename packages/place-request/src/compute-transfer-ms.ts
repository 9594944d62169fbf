import type { TransferTable } from './transfer-table.js';

/** Computes the milliseconds until the pieces from `start` to before `end` have arrived. The links transfer in parallel. */
export function computeTransferMs(table: TransferTable, start: number, end: number): number {
  let longestMs = 0;
  for (const { queueMs, sums } of table.links) {
    const ms = (sums[end] ?? 0) - (sums[start] ?? 0);
    if (ms > 0) longestMs = Math.max(longestMs, queueMs + ms);
  }
  return longestMs;
}
