import type { LinkState, PromptCache } from '@laburnumshift/place-request';
import type { PieceRef, StoredPiece } from '@laburnumshift/types';
import type { CellState } from './cell-state.js';
import { estimateLink } from './estimate-link.js';

/** Looks up what is cached of a prompt in one scope, with the best source for each stored piece. */
export function buildPromptCache(
  state: CellState,
  scope: string,
  pieces: readonly PieceRef[],
  nowMs: number,
): { readonly cache: PromptCache; readonly found: readonly (StoredPiece | undefined)[] } {
  const { directory } = state.options;
  const sources: LinkState[] = [];
  for (const record of state.stores.values()) {
    const link = estimateLink(record, nowMs);
    if (!link.usable) continue;
    const { name, diskBytesPerSecond } = record.host;
    const { queueMs, bytesPerSecond } = link;
    sources.push({ store: name, tier: 'memory', queueMs, bytesPerSecond });
    const diskRate = Math.min(bytesPerSecond, diskBytesPerSecond);
    sources.push({ store: name, tier: 'disk', queueMs, bytesPerSecond: diskRate });
  }
  const estimatePieceMs = (index: number): number => {
    const source = sources[index];
    return source === undefined ? Infinity : source.queueMs + state.pool.pieceBytes / source.bytesPerSecond;
  };
  const found: (StoredPiece | undefined)[] = [];
  const stored = pieces.map((piece) => {
    let best = -1;
    let bestPiece: StoredPiece | undefined;
    for (const candidate of sources.length === 0 ? [] : directory.findStored(scope, piece.chain)) {
      const index = sources.findIndex((s) => s.store === candidate.store && s.tier === candidate.tier);
      if (index < 0 || estimatePieceMs(index) >= estimatePieceMs(best)) continue;
      best = index;
      bestPiece = candidate;
    }
    found.push(bestPiece);
    return best;
  });
  return { cache: { prefix: directory.countPrefix(scope, pieces), sources, stored }, found };
}
