import type { AdmissionEntry } from '@laburnumshift/admit-request';
import { placeRequest } from '@laburnumshift/place-request';
import type { PlaceReply, PlaceRequest } from '@laburnumshift/types';
import { buildPlacementView } from './build-placement-view.js';
import type { CellState } from './cell-state.js';
import { CELL_TIMES } from './cell-times.js';

/** Estimates what a request costs, or refuses it when no engine could serve it in time even without a queue. */
export function buildAdmissionEntry(
  state: CellState,
  request: PlaceRequest,
  nowMs: number,
): { readonly entry: AdmissionEntry } | { readonly refusal: PlaceReply } {
  const { requestId, account, accountWeight, priority, remainingMs } = request;
  const view = buildPlacementView(state, request, nowMs, true);
  const decision = placeRequest({ ...view.input, suspect: false });
  const hasEngines = nowMs - state.lastUsableAtMs < CELL_TIMES.noEngineMs;
  if (decision === undefined && !hasEngines) {
    return {
      refusal: { kind: 'refused', code: 'no_engine', retryAfterMs: CELL_TIMES.noEngineRetryMs },
    };
  }
  if (decision !== undefined && decision.estimateMs > remainingMs) {
    const retryAfterMs = Math.ceil(decision.estimateMs - remainingMs);
    return { refusal: { kind: 'refused', code: 'deadline_unreachable', retryAfterMs } };
  }
  const promptTokens = request.pieces.reduce((sum, piece) => sum + piece.tokens, 0);
  const entry = {
    requestId,
    account,
    accountWeight,
    priority,
    tokens: (decision?.computedTokens ?? promptTokens) + request.maxTokens,
    deadlineAtMs: nowMs + remainingMs,
    // The queue estimates the wait for a slot itself.
    serviceMs: decision === undefined ? 0 : decision.estimateMs - decision.queueMs,
  };
  return { entry };
}
