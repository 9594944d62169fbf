import type { PromptPiece } from '@laburnumshift/forward-types';
import type { FetchPlan } from './fetch-plan.js';

/**
 * Plans where an engine gets the pieces of a prompt: from its own cache first, then from a source. Pieces after the first one that
 * is cached nowhere are not used, because a cached piece is valid only after all pieces before it.
 *
 * @param countCachedTokens returns the tokens of a piece in the engine's own cache
 * @param findSource returns the address of an engine or store that has the piece; `undefined` when none has it
 * @param estimateSlowdown returns the factor by which a fetch from the source takes longer than on an idle link
 */
export function planFetch(
  pieces: readonly PromptPiece[],
  countCachedTokens: (piece: PromptPiece) => number,
  findSource: (piece: PromptPiece) => string | undefined,
  estimateSlowdown: (source: string) => number = () => 1,
): FetchPlan {
  const sources: (string | undefined)[] = pieces.map(() => undefined);
  let localTokens = 0;
  let fetchTokens = 0;
  let delayWeightedTokens = 0;
  for (const [index, piece] of pieces.entries()) {
    const local = Math.min(piece.tokens, countCachedTokens(piece));
    const source = findSource(piece);
    localTokens += local;
    // The source is set for cached pieces too: the engine may have dropped them, and it does not fetch what it has.
    sources[index] = source;
    if (local >= piece.tokens) continue;
    if (source === undefined) break;
    fetchTokens += piece.tokens - local;
    delayWeightedTokens += (piece.tokens - local) * estimateSlowdown(source);
  }
  return {
    localTokens,
    fetchTokens,
    slowdown: fetchTokens > 0 ? delayWeightedTokens / fetchTokens : 1,
    sources,
  };
}
