import type { CacheDirectory, StoreView } from '@laburnumshift/types';
import { computePieceValue } from './compute-piece-value.js';
import type { PlannerState } from './planner-state.js';
import type { RankedPiece } from './ranked-piece.js';

/**
 * Ranks all pieces in living stores, the one to give up first in front. A piece is worth at most what the pieces before it are
 * worth, and nothing without them, so that a prompt is given up from its end. Pieces of unknown use come first.
 */
export function rankStored(
  state: PlannerState,
  stores: readonly StoreView[],
  directory: CacheDirectory,
  atMs: number,
): RankedPiece[] {
  const { options, history } = state;
  const found = stores
    .filter((store) => store.alive)
    .flatMap((store) =>
      directory.listStored(store.host.name).map((piece) => ({
        piece,
        store,
        use: history.findPiece(`${piece.scope}:${piece.chain}`),
      })),
    )
    .sort((a, b) => (a.use?.index ?? -1) - (b.use?.index ?? -1));
  const densities = new Map<string, number>();
  const ranked = found.map(({ piece, store, use }) => {
    if (use === undefined) return { piece, use, density: 0 };
    const own = computePieceValue({ options, history, store, atMs }, use).density;
    const before = use.parent === undefined ? own : (densities.get(use.parent) ?? 0);
    const density = Math.min(own, before);
    densities.set(use.key, Math.max(density, densities.get(use.key) ?? 0));
    return { piece, use, density };
  });
  return ranked.sort((a, b) => a.density - b.density || (b.use?.index ?? 0) - (a.use?.index ?? 0));
}
