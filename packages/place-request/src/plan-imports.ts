import type { PlacementWeights } from '@laburnumshift/types';
import { estimateImportPlan } from './estimate-import-plan.js';
import type { ImportPlan } from './import-plan.js';
import { computeTransferMs } from './compute-transfer-ms.js';
import type { TransferTable } from './transfer-table.js';

const MS_PER_S = 1000;

/**
 * Chooses which pieces an engine with `cached` leading pieces imports, at the lowest cost. For a fixed end of the imports the cost
 * is linear in the start on both sides of the point where computing the head takes as long as the transfer, so only that
 * point and the ends of the range are tried.
 *
 * @param tokensPerSecond prefill tokensPerSecond of the engine
 */
export function planImports(
  table: TransferTable,
  cached: number,
  tokensPerSecond: number,
  pieceBytes: number,
  weights: PlacementWeights,
): ImportPlan {
  let best = estimateImportPlan(
    table,
    { cached, head: cached, end: cached },
    tokensPerSecond,
    pieceBytes,
    weights,
  );
  const comparePlan = (head: number, end: number): void => {
    const plan = estimateImportPlan(table, { cached, head, end }, tokensPerSecond, pieceBytes, weights);
    if (plan.cost < best.cost) best = plan;
  };
  for (const end of table.importEnds) {
    const first = Math.max(cached, table.storedRunStart[end] ?? end);
    if (first >= end) continue;
    const balancedHead = findBalancedHead(table, cached, first, end, tokensPerSecond);
    comparePlan(first, end);
    if (balancedHead > first && balancedHead < end) comparePlan(balancedHead, end);
    if (balancedHead - 1 > first) comparePlan(balancedHead - 1, end);
  }
  return best;
}

/** Finds the first import start from `first` on at which computing the head takes at least as long as the transfer. */
function findBalancedHead(
  table: TransferTable,
  cached: number,
  first: number,
  end: number,
  tokensPerSecond: number,
): number {
  let low = first;
  let high = end;
  const cachedTokens = table.tokens[cached] ?? 0;
  while (low < high) {
    const middle = (low + high) >> 1;
    const headMs = (((table.tokens[middle] ?? 0) - cachedTokens) / tokensPerSecond) * MS_PER_S;
    if (headMs >= computeTransferMs(table, middle, end)) high = middle;
    else low = middle + 1;
  }
  return low;
}
