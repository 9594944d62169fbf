import type { PlacementDecision } from '@laburnumshift/place-request';
import type { Grant, PlaceRequest, StoredPiece } from '@laburnumshift/types';
import type { CellState } from './cell-state.js';
import type { PlacementView } from './placement-view.js';

/** Builds the grant of a decision with the pieces to import, which follow each other from `headPieces` on. */
export function buildGrant(
  state: CellState,
  request: PlaceRequest,
  view: PlacementView,
  decision: PlacementDecision,
  imports: readonly StoredPiece[],
): Grant | undefined {
  const engine = view.input.engines.find((candidate) => candidate.name === decision.engine);
  const cacheScope = view.scopes.get(engine?.weightVersion ?? '');
  if (engine === undefined || cacheScope === undefined) return undefined;
  return {
    engine: engine.name,
    url: engine.url,
    weightVersion: engine.weightVersion,
    cacheScope,
    cachedPieces: decision.cachedPieces,
    headPieces: imports.length === 0 ? request.pieces.length : decision.headPieces,
    imports: imports.map((piece, offset) => ({
      index: decision.headPieces + offset,
      chain: piece.chain,
      url: state.stores.get(piece.store)?.host.url ?? '',
      key: `${piece.scope}:${piece.chain}`,
      generation: piece.generation,
      length: piece.length,
      checksum: piece.checksum,
    })),
    estimateMs: decision.estimateMs,
    candidates: decision.candidates,
  };
}
