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
  const pieceMs = cache.sources.map((source) => (pieceBytes / source.bytesPerSecond) * MS_PER_S);
  // A piece on a disk uses the disk and the link at once, so each store has a link and each slower tier adds its own part.
  const fastest = stores.map((store) =>
    Math.min(...pieceMs.filter((_, index) => cache.sources[index]?.store === store)),
  );
  const parts = [
    ...stores.map((store, at) => ({ store, tier: undefined, ms: fastest[at] ?? 0 })),
    ...cache.sources.flatMap(({ store, tier }, index) => {
      const ms = pieceMs[index] ?? 0;
      return ms > (fastest[stores.indexOf(store)] ?? 0) ? [{ store, tier, ms }] : [];
    }),
  ];
  const links = parts.map(({ store, tier }) => {
    const used = cache.sources.filter((s) => s.store === store && (tier === undefined || s.tier === tier));
    return { queueMs: Math.max(...used.map((s) => s.queueMs)), sums: new Float64Array(count + 1) };
  });
  const partsOf = cache.sources.map((source) =>
    parts.map(({ store, tier, ms }) =>
      store === source.store && (tier === undefined || tier === source.tier) ? ms : 0,
    ),
  );
  const ends: number[] = [];
  for (let i = 0; i < count; i += 1) {
    const source = cache.stored[i] ?? -1;
    const times = partsOf[source];
    links.forEach(({ sums }, part) => {
      sums[i + 1] = (sums[i] ?? 0) + (times?.[part] ?? 0);
    });
    if (times === undefined) {
      runStart[i + 1] = i + 1;
      continue;
    }
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
