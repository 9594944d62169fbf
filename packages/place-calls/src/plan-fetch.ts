import type { PromptPiece } from '@laburnumshift/forward-types';
import type { FetchPlan } from './fetch-plan.js';

/**
 * Plans where an engine gets the pieces of a prompt: its own cache first, then a source. Pieces after the first one that
 * nobody has are of no use, as a piece is valid only behind the ones before it.
 */
export function planFetch(
  pieces: readonly PromptPiece[],
  countLocal: (piece: PromptPiece) => number,
  findSource: (piece: PromptPiece) => string | undefined,
  estimateSlowdown: (source: string) => number = () => 1,
): FetchPlan {
  const sources: (string | undefined)[] = pieces.map(() => undefined);
  let localTokens = 0;
  let fetchTokens = 0;
  let slowTokens = 0;
  for (const [index, piece] of pieces.entries()) {
    const local = Math.min(piece.tokens, countLocal(piece));
    const source = findSource(piece);
    localTokens += local;
    // Named also where the piece is cached: the engine may have dropped it, and fetches nothing that it has.
    sources[index] = source;
    if (local >= piece.tokens) continue;
    if (source === undefined) break;
    fetchTokens += piece.tokens - local;
    slowTokens += (piece.tokens - local) * estimateSlowdown(source);
  }
  return { localTokens, fetchTokens, slowdown: fetchTokens > 0 ? slowTokens / fetchTokens : 1, sources };
}
