import type { PlacementDecision } from '@laburnumshift/place-request';
import type { EnginePlacementRequest, StoredPiece } from '@laburnumshift/types';
import { addLinkBytes } from './add-link-bytes.js';
import type { CellState } from './cell-state.js';
import { CELL_TIMING } from './cell-timing.js';
import type { RunningRequest } from './running-request.js';

const MS_PER_S = 1000;
/** A run without a report is released after this multiple of its estimated duration, plus the grace time for reports. */
const MAX_DURATION_FACTOR = 3;

/**
 * Counts a granted request on its engine and the links it imports over, so that the next decision takes it into account before
 * a load report does.
 *
 * @returns `undefined` when the engine has left the cell
 */
export function registerRun(
  state: CellState,
  request: EnginePlacementRequest,
  decision: PlacementDecision,
  imports: readonly StoredPiece[],
  nowMs: number,
): RunningRequest | undefined {
  const record = state.engines.get(decision.engine);
  if (record === undefined) return undefined;
  const decodeMs = (request.maxTokens / Math.max(record.decodeRate, 1)) * MS_PER_S;
  const run: RunningRequest = {
    requestId: request.requestId,
    fingerprint: request.fingerprint,
    grantedAtMs: nowMs,
    expiresAtMs:
      nowMs + (decision.estimateMs + decodeMs) * MAX_DURATION_FACTOR + CELL_TIMING.runReportGraceMs,
    decision,
    imports,
  };
  record.running.set(request.requestId, run);
  record.peakOwnRunning = Math.max(record.peakOwnRunning, record.running.size);
  record.backlog.addTokens(decision.computedTokens, request.priority, record.prefillRate, nowMs);
  for (const piece of imports) {
    const store = state.stores.get(piece.store);
    if (store !== undefined) addLinkBytes(store, piece.bytes, nowMs);
  }
  return run;
}
