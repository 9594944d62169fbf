import type { CacheDirectory, StoreState } from '@laburnumshift/types';
import { computePieceValue } from './compute-piece-value.js';
import type { PlannerState } from './planner-state.js';
import type { RankedPiece } from './ranked-piece.js';

/**
 * Lists all pieces in live stores in the order of eviction, the lowest density first. The density of a piece is limited
 * by that of the pieces before it in the prompt, and is 0 if one of them is missing, so that a prompt is evicted from
 * its end. Pieces without a usage record have the density 0.
 */
export function rankStoredPieces(
  state: PlannerState,
  stores: readonly StoreState[],
  directory: CacheDirectory,
  atMs: number,
): RankedPiece[] {
  const { options, history } = state;
  const stored = stores
    .filter((store) => store.alive)
    .flatMap((store) =>
      directory.listStoredPieces(store.host.name).map((piece) => ({
        piece,
        store,
        use: history.findPiece(`${piece.scope}:${piece.chain}`),
      })),
    )
    .sort((a, b) => (a.use?.index ?? -1) - (b.use?.index ?? -1));
  const densities = new Map<string, number>();
  const ranked = stored.map(({ piece, store, use }) => {
    if (use === undefined) return { piece, use, density: 0 };
    const ownDensity = computePieceValue({ options, history, store, atMs }, use).density;
    const parentDensity = use.parentKey === undefined ? ownDensity : (densities.get(use.parentKey) ?? 0);
    const density = Math.min(ownDensity, parentDensity);
    densities.set(use.key, Math.max(density, densities.get(use.key) ?? 0));
    return { piece, use, density };
  });
  return ranked.sort((a, b) => a.density - b.density || (b.use?.index ?? 0) - (a.use?.index ?? 0));
}
