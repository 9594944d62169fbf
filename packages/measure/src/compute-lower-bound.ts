import { computeFigures } from './compute-figures.js';
import type { Deployment } from './deployment.js';
import type { LowerBound } from './lower-bound.js';
import type { TraceRequest } from './trace-request.js';

const MS_PER_S = 1000;

/**
 * Computes a bound that no policy can beat: each request starts at once on an idle engine, and every piece that any earlier
 * request had is there at no cost. Only new tokens are computed.
 */
export function computeLowerBound(
  deployment: Deployment,
  trace: readonly TraceRequest[],
  warmupMs: number,
): LowerBound {
  const seen = new Set<string>();
  const interactive: { ttftMs: number; refused: boolean }[] = [];
  let fresh = 0;
  let total = 0;
  for (const { atMs, pieces, tokens, kind } of trace) {
    const added = pieces.filter(({ chain }) => !seen.has(chain));
    for (const { chain } of added) seen.add(chain);
    if (atMs < warmupMs) continue;
    const addedTokens = added.reduce((sum, piece) => sum + piece.tokens, 0);
    fresh += addedTokens;
    total += tokens;
    const ttftMs = (addedTokens / deployment.prefillTokensPerSecond) * MS_PER_S;
    if (kind.priority !== 'bulk') interactive.push({ ttftMs, refused: false });
  }
  return { interactive: computeFigures(interactive), computedShare: fresh / total };
}
