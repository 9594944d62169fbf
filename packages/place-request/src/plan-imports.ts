import type { PlacementWeights } from '@laburnumshift/types';
import { estimatePlan } from './estimate-plan.js';
import type { ImportPlan } from './import-plan.js';
import { measureTransfer } from './measure-transfer.js';
import type { TransferTable } from './transfer-table.js';

const MS_PER_S = 1000;

/**
 * Chooses which pieces an engine with `cached` leading pieces imports. For a fixed end of the imports the cost is linear
 * on both sides of the point where head and transfer take equally long, so only that point and the borders are tried.
 */
export function planImports(
  table: TransferTable,
  cached: number,
  rate: number,
  pieceBytes: number,
  weights: PlacementWeights,
): ImportPlan {
  let best = estimatePlan(table, { cached, head: cached, end: cached }, rate, pieceBytes, weights);
  const compareWith = (head: number, end: number): void => {
    const plan = estimatePlan(table, { cached, head, end }, rate, pieceBytes, weights);
    if (plan.cost < best.cost) best = plan;
  };
  for (const end of table.ends) {
    const first = Math.max(cached, table.runStart[end] ?? end);
    if (first >= end) continue;
    const balanced = findBalance(table, cached, first, end, rate);
    compareWith(first, end);
    if (balanced > first && balanced < end) compareWith(balanced, end);
    if (balanced - 1 > first) compareWith(balanced - 1, end);
  }
  return best;
}

/** Finds the first head end from `first` on at which computing the head takes at least as long as the transfer. */
function findBalance(table: TransferTable, cached: number, first: number, end: number, rate: number): number {
  let low = first;
  let high = end;
  const base = table.tokens[cached] ?? 0;
  while (low < high) {
    const middle = (low + high) >> 1;
    const headMs = (((table.tokens[middle] ?? 0) - base) / rate) * MS_PER_S;
    if (headMs >= measureTransfer(table, middle, end)) high = middle;
    else low = middle + 1;
  }
  return low;
}
