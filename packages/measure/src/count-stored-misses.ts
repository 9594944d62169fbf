import type { Deployment } from './deployment.js';
import type { TraceRequest } from './trace-request.js';

/**
 * Counts for each request the old pieces that no cache can hold: all engines and the store together are one cache that knows
 * the future and drops the piece that is used latest (Belady's rule). Fetching and dropping take no time.
 */
export function countStoredMisses(deployment: Deployment, trace: readonly TraceRequest[]): readonly number[] {
  const { engines, enginePieces, memoryPieces, diskPieces } = deployment;
  const capacity = engines * enginePieces + memoryPieces + diskPieces;
  const nextUses = findNextUses(trace);
  /** Next use of each kept piece; pieces that never return are not kept. */
  const kept = new Map<string, number>();
  const seen = new Set<string>();
  const buckets = new Map<number, string[]>();
  let latest = 0;
  const dropLatest = (): void => {
    while (latest > 0) {
      const chain = buckets.get(latest)?.pop();
      if (chain === undefined) latest -= 1;
      else if (kept.get(chain) === latest) {
        kept.delete(chain);
        return;
      }
    }
  };
  return trace.map(({ pieces }, at) => {
    let misses = 0;
    for (const { chain } of pieces) {
      if (seen.has(chain) && !kept.has(chain)) misses += 1;
      seen.add(chain);
      kept.delete(chain);
      const next = nextUses[at]?.get(chain);
      if (next === undefined) continue;
      kept.set(chain, next);
      const bucket = buckets.get(next) ?? [];
      buckets.set(next, bucket);
      bucket.push(chain);
      latest = Math.max(latest, next);
      if (kept.size > capacity) dropLatest();
    }
    return misses;
  });
}

/** Finds for each request and piece the index of the next request with this piece. */
function findNextUses(trace: readonly TraceRequest[]): readonly ReadonlyMap<string, number>[] {
  const next = new Map<string, number>();
  const uses = trace.map(() => new Map<string, number>());
  for (let at = trace.length - 1; at >= 0; at -= 1) {
    for (const { chain } of trace[at]?.pieces ?? []) {
      const later = next.get(chain);
      if (later !== undefined) uses[at]?.set(chain, later);
      next.set(chain, at);
    }
  }
  return uses;
}
