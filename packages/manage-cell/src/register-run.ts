import type { PlacementDecision } from '@laburnumshift/place-request';
import type { PlaceRequest, StoredPiece } from '@laburnumshift/types';
import { addLinkBytes } from './add-link-bytes.js';
import type { CellState } from './cell-state.js';
import { CELL_TIMES } from './cell-times.js';
import type { RunningRequest } from './running-request.js';

const MS_PER_S = 1000;
/** A run may take this multiple of its estimated duration before it counts as gone. */
const DURATION_SLACK = 3;

/** Counts a grant on its engine and links, so that the next decision sees it before any report does. */
export function registerRun(
  state: CellState,
  request: PlaceRequest,
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
    expiresAtMs: nowMs + (decision.estimateMs + decodeMs) * DURATION_SLACK + CELL_TIMES.reportGraceMs,
    decision,
    imports,
  };
  record.running.set(request.requestId, run);
  record.ownPeak = Math.max(record.ownPeak, record.running.size);
  record.backlog.addTokens(decision.computedTokens, request.priority, record.prefillRate, nowMs);
  for (const piece of imports) {
    const store = state.stores.get(piece.store);
    if (store !== undefined) addLinkBytes(store, piece.bytes, nowMs);
  }
  return run;
}
