import type { PlacementWeights } from '@laburnumshift/types';
import type { ImportPlan } from './import-plan.js';
import { computeTransferMs } from './compute-transfer-ms.js';
import type { TransferTable } from './transfer-table.js';

const MS_PER_S = 1000;
const BYTES_PER_MEBIBYTE = 1024 * 1024;
const TOKENS_PER_KILO = 1000;

/**
 * Estimates the time and the cost of one plan: the pieces from `cached` to before `head` are computed while those from `head` to
 * before `end` are imported, then the rest is computed.
 *
 * @param range indexes of pieces, `cached` <= `head` <= `end`
 * @param tokensPerSecond prefill rate of the engine
 */
export function estimateImportPlan(
  table: TransferTable,
  range: { readonly cached: number; readonly head: number; readonly end: number },
  tokensPerSecond: number,
  pieceBytes: number,
  weights: PlacementWeights,
): ImportPlan {
  const { cached, head, end } = range;
  const { tokens } = table;
  const headTokens = (tokens[head] ?? 0) - (tokens[cached] ?? 0);
  const restTokens = (tokens[tokens.length - 1] ?? 0) - (tokens[end] ?? 0);
  const transferMs = computeTransferMs(table, head, end);
  const headMs = (headTokens / tokensPerSecond) * MS_PER_S;
  const restMs = (restTokens / tokensPerSecond) * MS_PER_S;
  const transferAndPrefillMs = Math.max(headMs, transferMs) + restMs;
  const computedTokens = headTokens + restTokens;
  const movedBytes = (end - head) * pieceBytes;
  return {
    headPieces: head,
    importEnd: end,
    transferMs,
    prefillMs: headMs + restMs,
    transferAndPrefillMs,
    computedTokens,
    movedBytes,
    cost:
      weights.perMs * transferAndPrefillMs +
      (weights.perKiloTokenRecomputed * computedTokens) / TOKENS_PER_KILO +
      (weights.perMebibyteMoved * movedBytes) / BYTES_PER_MEBIBYTE,
  };
}
