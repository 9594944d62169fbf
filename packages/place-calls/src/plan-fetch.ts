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
): FetchPlan {
  const sources: (string | undefined)[] = pieces.map(() => undefined);
  let localTokens = 0;
  let fetchTokens = 0;
  for (const [index, piece] of pieces.entries()) {
    const local = Math.min(piece.tokens, countLocal(piece));
    localTokens += local;
    if (local >= piece.tokens) continue;
    const source = findSource(piece);
    if (source === undefined) break;
    sources[index] = source;
    fetchTokens += piece.tokens - local;
  }
  return { localTokens, fetchTokens, sources };
}
