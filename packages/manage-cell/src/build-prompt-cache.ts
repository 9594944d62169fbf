import type { PieceSource, PromptCache } from '@laburnumshift/place-request';
import type { PieceRef, StoredPiece } from '@laburnumshift/types';
import type { CellState } from './cell-state.js';
import { estimateLink } from './estimate-link.js';

/**
 * Looks up which pieces of a prompt are cached in one scope: the cached prefix on each engine, and for each piece the stored
 * copy with the shortest estimated transfer.
 *
 * @returns `storedPieces` has one entry for each piece of the prompt, `undefined` where no usable store has the piece;
 * `cache.stored` holds the index into `cache.sources` of that copy, or -1
 */
export function buildPromptCache(
  state: CellState,
  scope: string,
  pieces: readonly PieceRef[],
  nowMs: number,
): { readonly cache: PromptCache; readonly storedPieces: readonly (StoredPiece | undefined)[] } {
  const { directory } = state.options;
  const sources: PieceSource[] = [];
  for (const record of state.stores.values()) {
    const link = estimateLink(record, nowMs);
    if (!link.usable) continue;
    const { name, diskBytesPerSecond } = record.host;
    const { queueMs, bytesPerSecond } = link;
    sources.push({ store: name, tier: 'memory', queueMs, bytesPerSecond });
    const diskReadRate = Math.min(bytesPerSecond, diskBytesPerSecond);
    sources.push({ store: name, tier: 'disk', queueMs, bytesPerSecond: diskReadRate });
  }
  const estimatePieceMs = (index: number): number => {
    const source = sources[index];
    return source === undefined ? Infinity : source.queueMs + state.pool.pieceBytes / source.bytesPerSecond;
  };
  const storedPieces: (StoredPiece | undefined)[] = [];
  const stored = pieces.map((piece) => {
    let bestSource = -1;
    let bestPiece: StoredPiece | undefined;
    for (const candidate of sources.length === 0 ? [] : directory.findStoredCopies(scope, piece.chain)) {
      const index = sources.findIndex(
        (source) => source.store === candidate.store && source.tier === candidate.tier,
      );
      if (index < 0 || estimatePieceMs(index) >= estimatePieceMs(bestSource)) continue;
      bestSource = index;
      bestPiece = candidate;
    }
    storedPieces.push(bestPiece);
    return bestSource;
  });
  return { cache: { prefix: directory.countCachedPrefix(scope, pieces), sources, stored }, storedPieces };
}
