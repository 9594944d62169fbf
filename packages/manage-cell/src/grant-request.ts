import { placeRequest } from '@laburnumshift/place-request';
import type { EnginePlacementReply, EnginePlacementRequest } from '@laburnumshift/types';
import { buildGrant } from './build-grant.js';
import { buildPlacementContext } from './build-placement-context.js';
import type { CellState } from './cell-state.js';
import { CELL_TIMING } from './cell-timing.js';
import { registerRun } from './register-run.js';

const NO_ENGINE: EnginePlacementReply = {
  kind: 'refused',
  code: 'no_engine',
  retryAfterMs: CELL_TIMING.noEngineRetryDelayMs,
};

/**
 * Chooses the engine of an admitted request, counts the request there at once and replies with a grant or a refusal. The home
 * does not pin the pieces to import: that would cost a store call for each piece. The engine pins a piece when it begins the
 * import, and computes a piece that was freed in the meantime.
 *
 * @param remainingMs time until the request's deadline, milliseconds
 * @param reply called exactly once, before the function returns
 */
export function grantRequest(
  state: CellState,
  request: EnginePlacementRequest,
  remainingMs: number,
  nowMs: number,
  reply: (reply: EnginePlacementReply) => void,
): void {
  const context = buildPlacementContext(state, request, nowMs, false);
  const decision = (state.options.policy ?? placeRequest)(context.input);
  state.decisionCount += 1;
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
  const imports = (context.storedPieces.get(version) ?? [])
    .slice(decision.headPieces, decision.importEnd)
    .filter((piece) => piece !== undefined);
  registerRun(state, request, decision, imports, nowMs);
  const grant = buildGrant(state, request, context, decision, imports);
  reply(grant === undefined ? NO_ENGINE : { kind: 'granted', grant });
}
