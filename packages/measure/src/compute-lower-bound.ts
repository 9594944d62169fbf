import { computeFigures } from './compute-figures.js';
import { countStoredMisses } from './count-stored-misses.js';
import type { Deployment } from './deployment.js';
import type { LowerBound } from './lower-bound.js';
import { PieceCache } from './piece-cache.js';
import type { TraceRequest } from './trace-request.js';

const MS_PER_S = 1000;

/**
 * Computes what perfect knowledge of loads and caches could reach with the engines, the link and the capacity that exist.
 * Pieces that the engines hold together cost nothing, other kept ones cross the link at its full rate, the rest is computed.
 * Interactive requests start in order of arrival on the first engine that is free of them, and bulk requests and exports get
 * out of the way of everything. A request computes instead of importing where that is faster, which does not count as computed.
 */
export function computeLowerBound(
  deployment: Deployment,
  trace: readonly TraceRequest[],
  warmupMs: number,
): LowerBound {
  const { prefillTokensPerSecond, pieceBytes, pieceTokens, linkBytesPerSecond } = deployment;
  const linkMs = (pieceBytes / linkBytesPerSecond) * MS_PER_S;
  const misses = countStoredMisses(deployment, trace);
  const held = new PieceCache(deployment.engines * deployment.enginePieces);
  const freeAtMs = Array.from({ length: deployment.engines }, () => 0);
  const seen = new Set<string>();
  const interactive: { ttftMs: number; refused: boolean }[] = [];
  let linkFreeAtMs = 0;
  let computed = 0;
  let total = 0;
  trace.forEach(({ atMs, pieces, tokens, kind }, index) => {
    const missed = misses[index] ?? 0;
    const fresh = pieces
      .filter(({ chain }) => !seen.has(chain))
      .reduce((sum, piece) => sum + piece.tokens, 0);
    const moved = pieces.filter(({ chain }) => seen.has(chain) && !held.has(chain)).length - missed;
    for (const { chain } of [...pieces].reverse()) {
      seen.add(chain);
      held.add(chain);
    }
    const computedTokens = fresh + missed * pieceTokens;
    if (atMs >= warmupMs) {
      computed += computedTokens;
      total += tokens;
    }
    if (kind.priority === 'bulk') return;
    const engine = freeAtMs.indexOf(Math.min(...freeAtMs));
    const startMs = Math.max(atMs, freeAtMs[engine] ?? 0);
    const queueMs = Math.max(0, linkFreeAtMs - startMs);
    const pieceMs = (pieceTokens / prefillTokensPerSecond) * MS_PER_S;
    // Head and import take equally long at best.
    const imported = Math.max(0, Math.min(moved, (moved * pieceMs - queueMs) / (pieceMs + linkMs)));
    const fillMs = (Math.max(0, moved) - imported) * pieceMs;
    if (imported > 0) linkFreeAtMs = Math.max(linkFreeAtMs, startMs) + imported * linkMs;
    const endMs = startMs + fillMs + (computedTokens / prefillTokensPerSecond) * MS_PER_S;
    freeAtMs[engine] = endMs;
    if (atMs >= warmupMs) interactive.push({ ttftMs: endMs - atMs, refused: false });
  });
  return { interactive: computeFigures(interactive), computedShare: computed / total };
}
