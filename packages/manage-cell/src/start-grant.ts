import { placeRequest } from '@laburnumshift/place-request';
import type { PlaceReply, PlaceRequest } from '@laburnumshift/types';
import { buildGrant } from './build-grant.js';
import { buildPlacementView } from './build-placement-view.js';
import type { CellState } from './cell-state.js';
import { CELL_TIMES } from './cell-times.js';
import { registerRun } from './register-run.js';

const NO_ENGINE: PlaceReply = {
  kind: 'refused',
  code: 'no_engine',
  retryAfterMs: CELL_TIMES.noEngineRetryMs,
};

/**
 * Decides where an admitted request runs and counts it there at once. The engine pins each piece when it begins the import;
 * a pin by the home would cost a call for each piece, and a piece that is freed in between is a miss.
 *
 * @param reply called once, before the return
 */
export function startGrant(
  state: CellState,
  request: PlaceRequest,
  remainingMs: number,
  nowMs: number,
  reply: (reply: PlaceReply) => void,
): void {
  const view = buildPlacementView(state, request, nowMs, false);
  const decision = (state.options.policy ?? placeRequest)(view.input);
  state.turn += 1;
  if (decision === undefined) {
    reply(NO_ENGINE);
    return;
  }
  if (decision.estimateMs > remainingMs) {
    const retryAfterMs = Math.ceil(decision.estimateMs - remainingMs);
    reply({ kind: 'refused', code: 'deadline_unreachable', retryAfterMs });
    return;
  }
  const version = state.engines.get(decision.engine)?.load?.weight_version ?? '';
  const wanted = (view.found.get(version) ?? [])
    .slice(decision.headPieces, decision.importEnd)
    .filter((piece) => piece !== undefined);
  registerRun(state, request, decision, wanted, nowMs);
  const grant = buildGrant(state, request, view, decision, wanted);
  reply(grant === undefined ? NO_ENGINE : { kind: 'granted', grant });
}
