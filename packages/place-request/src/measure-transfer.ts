import type { TransferTable } from './transfer-table.js';

/** Computes the milliseconds until the pieces from `start` to before `end` have arrived; links work in parallel. */
export function measureTransfer(table: TransferTable, start: number, end: number): number {
  let longest = 0;
  for (const { queueMs, sums } of table.links) {
    const ms = (sums[end] ?? 0) - (sums[start] ?? 0);
    if (ms > 0) longest = Math.max(longest, queueMs + ms);
  }
  return longest;
}
