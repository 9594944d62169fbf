import type { PlacementWeights } from '@laburnumshift/types';
import type { ImportPlan } from './import-plan.js';
import { measureTransfer } from './measure-transfer.js';
import type { TransferTable } from './transfer-table.js';

const MS_PER_S = 1000;
const BYTES_PER_MEBIBYTE = 1024 * 1024;
const TOKENS_PER_KILO = 1000;

/**
 * Estimates one plan: pieces from `cached` to `head` are computed while those from `head` to `end` are imported, then
 * the rest is computed.
 */
export function estimatePlan(
  table: TransferTable,
  range: { readonly cached: number; readonly head: number; readonly end: number },
  rate: number,
  pieceBytes: number,
  weights: PlacementWeights,
): ImportPlan {
  const { cached, head, end } = range;
  const { tokens } = table;
  const headTokens = (tokens[head] ?? 0) - (tokens[cached] ?? 0);
  const restTokens = (tokens[tokens.length - 1] ?? 0) - (tokens[end] ?? 0);
  const transferMs = measureTransfer(table, head, end);
  const headMs = (headTokens / rate) * MS_PER_S;
  const restMs = (restTokens / rate) * MS_PER_S;
  const workMs = Math.max(headMs, transferMs) + restMs;
  const computedTokens = headTokens + restTokens;
  const movedBytes = (end - head) * pieceBytes;
  return {
    headPieces: head,
    importEnd: end,
    transferMs,
    prefillMs: headMs + restMs,
    workMs,
    computedTokens,
    movedBytes,
    cost:
      weights.perMs * workMs +
      (weights.perKiloTokenRecomputed * computedTokens) / TOKENS_PER_KILO +
      (weights.perMebibyteMoved * movedBytes) / BYTES_PER_MEBIBYTE,
  };
}
