import type { AdmissionEntry } from '@laburnumshift/admit-request';
import { placeRequest } from '@laburnumshift/place-request';
import type { EnginePlacementReply, EnginePlacementRequest } from '@laburnumshift/types';
import { buildPlacementContext } from './build-placement-context.js';
import type { CellState } from './cell-state.js';
import { CELL_TIMING } from './cell-timing.js';

/**
 * Builds the admission queue entry of a request from its estimated cost. Refuses the request when no engine could produce
 * the first token before the deadline even without queueing, or when no engine has been usable for a while.
 */
export function buildAdmissionEntry(
  state: CellState,
  request: EnginePlacementRequest,
  nowMs: number,
): { readonly entry: AdmissionEntry } | { readonly refusal: EnginePlacementReply } {
  const { requestId, account, accountWeight, priority, remainingMs } = request;
  const context = buildPlacementContext(state, request, nowMs, true);
  const decision = placeRequest({ ...context.input, suspect: false });
  const hasEngines = nowMs - state.lastUsableAtMs < CELL_TIMING.noEngineTimeoutMs;
  if (decision === undefined && !hasEngines) {
    return {
      refusal: { kind: 'refused', code: 'no_engine', retryAfterMs: CELL_TIMING.noEngineRetryDelayMs },
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
    // The admission queue adds its own estimate of the wait for a slot.
    timeToFirstTokenMs: decision === undefined ? 0 : decision.estimateMs - decision.queueMs,
  };
  return { entry };
}
