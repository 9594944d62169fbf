import { computeScope } from '@laburnumshift/hash-pieces';
import type { PromptCache } from '@laburnumshift/place-request';
import type { PlaceRequest, StoredPiece } from '@laburnumshift/types';
import { buildEngineState } from './build-engine-state.js';
import { buildPromptCache } from './build-prompt-cache.js';
import type { CellState } from './cell-state.js';
import { hasAdapter } from './has-adapter.js';
import { hasRoom } from './has-room.js';
import type { PlacementView } from './placement-view.js';

/**
 * Builds the input of a decision. Pieces are looked up under each weight version that an engine reports, so an engine is
 * never credited with pieces of another version.
 *
 * @param anyRoom also shows engines without room, to estimate what a request would cost
 */
export function buildPlacementView(
  state: CellState,
  request: PlaceRequest,
  nowMs: number,
  anyRoom: boolean,
): PlacementView {
  const engines = [...state.engines.values()].map((record) => {
    const engine = buildEngineState(state, record, nowMs, request.priority);
    const fits = hasAdapter(record, request) && (anyRoom || hasRoom(engine, request, state.pool));
    return { ...engine, usable: engine.usable && fits };
  });
  const scopes = new Map<string, string>();
  const caches = new Map<string, PromptCache>();
  const found = new Map<string, readonly (StoredPiece | undefined)[]>();
  for (const engine of engines) {
    const version = engine.weightVersion;
    if (!engine.usable || scopes.has(version)) continue;
    const scope = computeScope(request.account, request.model, request.adapter, version);
    const looked = buildPromptCache(state, scope, request.pieces, nowMs);
    scopes.set(version, scope);
    caches.set(version, looked.cache);
    found.set(version, looked.found);
  }
  const input = {
    engines,
    pieces: request.pieces,
    pieceBytes: state.pool.pieceBytes,
    caches,
    weights: request.weights,
    exclude: request.exclude,
    suspect: request.suspect || state.options.isSuspect(request.fingerprint),
    weightVersion: request.weightVersion,
    stickyKey: request.pieces[0]?.chain ?? request.fingerprint,
    turn: state.turn,
  };
  return { input, scopes, found };
}
