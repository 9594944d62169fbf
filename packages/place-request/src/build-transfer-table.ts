import type { PieceRef } from '@laburnumshift/types';
import type { PromptCache } from './prompt-cache.js';
import type { TransferTable } from './transfer-table.js';

/** Bounds the work for each engine when sources alternate; between two changes of source the cost is linear. */
const MAX_ENDS = 6;
const MS_PER_S = 1000;

/** Prepares the sums for one prompt and one weight version. */
export function buildTransferTable(
  pieces: readonly PieceRef[],
  pieceBytes: number,
  cache: PromptCache | undefined,
): TransferTable {
  const count = pieces.length;
  const tokens = new Float64Array(count + 1);
  for (let i = 0; i < count; i += 1) tokens[i + 1] = (tokens[i] ?? 0) + (pieces[i]?.tokens ?? 0);
  const runStart = new Int32Array(count + 1);
  if (cache === undefined) return { tokens, links: [], runStart, ends: [] };

  const stores = [...new Set(cache.sources.map((source) => source.store))];
  const linkOf = cache.sources.map((source) => stores.indexOf(source.store));
  const pieceMs = cache.sources.map((source) => (pieceBytes / source.bytesPerSecond) * MS_PER_S);
  const links = stores.map((store) => ({
    queueMs: Math.max(...cache.sources.filter((s) => s.store === store).map((s) => s.queueMs)),
    sums: new Float64Array(count + 1),
  }));
  const ends: number[] = [];
  for (let i = 0; i < count; i += 1) {
    const source = cache.stored[i] ?? -1;
    for (const { sums } of links) sums[i + 1] = sums[i] ?? 0;
    const link = links[linkOf[source] ?? -1];
    if (link === undefined) {
      runStart[i + 1] = i + 1;
      continue;
    }
    link.sums[i + 1] = (link.sums[i] ?? 0) + (pieceMs[source] ?? 0);
    runStart[i + 1] = runStart[i] ?? 0;
    if (source !== (cache.stored[i + 1] ?? -1)) ends.push(i + 1);
  }
  return { tokens, links, runStart, ends: limitEnds(ends) };
}

/** Keeps the last end and an even sample of the others. */
function limitEnds(ends: readonly number[]): readonly number[] {
  if (ends.length <= MAX_ENDS) return ends;
  const step = (ends.length - 1) / (MAX_ENDS - 1);
  return Array.from({ length: MAX_ENDS }, (_, i) => ends[Math.round(i * step)] ?? 0);
}
