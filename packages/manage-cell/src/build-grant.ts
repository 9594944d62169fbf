import type { PlacementDecision } from '@laburnumshift/place-request';
import type { EnginePlacement, EnginePlacementRequest, StoredPiece } from '@laburnumshift/types';
import type { CellState } from './cell-state.js';
import type { PlacementContext } from './placement-context.js';

/**
 * Builds the reply that grants a request its engine.
 *
 * @param imports stored pieces to import, consecutive in the prompt and starting at index `headPieces`
 * @returns `undefined` when the chosen engine is not part of the placement context
 */
export function buildGrant(
  state: CellState,
  request: EnginePlacementRequest,
  context: PlacementContext,
  decision: PlacementDecision,
  imports: readonly StoredPiece[],
): EnginePlacement | undefined {
  const engine = context.input.engines.find((candidate) => candidate.name === decision.engine);
  const cacheScope = context.scopes.get(engine?.weightVersion ?? '');
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
