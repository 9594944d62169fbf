import { computeCacheScope } from '@laburnumshift/hash-pieces';
import type { PromptCache } from '@laburnumshift/place-request';
import type { EnginePlacementRequest, StoredPiece } from '@laburnumshift/types';
import { buildEngineState } from './build-engine-state.js';
import { buildPromptCache } from './build-prompt-cache.js';
import type { CellState } from './cell-state.js';
import { hasAdapter } from './has-adapter.js';
import { hasFreeSlot } from './has-free-slot.js';
import type { PlacementContext } from './placement-context.js';

/**
 * Builds the input of a placement decision. Cached pieces are looked up separately for each weight version that a usable
 * engine reports, so an engine is never credited with pieces computed by another version.
 *
 * @param ignoreSlots includes engines without a free slot, to estimate the cost of a request
 */
export function buildPlacementContext(
  state: CellState,
  request: EnginePlacementRequest,
  nowMs: number,
  ignoreSlots: boolean,
): PlacementContext {
  const engines = [...state.engines.values()].map((record) => {
    const engine = buildEngineState(state, record, nowMs, request.priority);
    const fits = hasAdapter(record, request) && (ignoreSlots || hasFreeSlot(engine, request, state.pool));
    return { ...engine, usable: engine.usable && fits };
  });
  const scopes = new Map<string, string>();
  const caches = new Map<string, PromptCache>();
  const storedPieces = new Map<string, readonly (StoredPiece | undefined)[]>();
  for (const engine of engines) {
    const version = engine.weightVersion;
    if (!engine.usable || scopes.has(version)) continue;
    const scope = computeCacheScope(request.account, request.model, request.adapter, version);
    const lookup = buildPromptCache(state, scope, request.pieces, nowMs);
    scopes.set(version, scope);
    caches.set(version, lookup.cache);
    storedPieces.set(version, lookup.storedPieces);
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
    affinityKey: request.pieces[0]?.chain ?? request.fingerprint,
    decisionCount: state.decisionCount,
  };
  return { input, scopes, storedPieces };
}
