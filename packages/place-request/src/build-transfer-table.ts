import type { PieceRef } from '@laburnumshift/types';
import type { PromptCache } from './prompt-cache.js';
import type { TransferTable } from './transfer-table.js';

/** Bounds the work for each engine when sources alternate. Between two changes of source the cost is linear in the end, so only
 * the changes are tried. */
const MAX_IMPORT_ENDS = 6;
const MS_PER_S = 1000;

/**
 * Builds the transfer table of one prompt for one weight version.
 *
 * @param pieceBytes size of each piece
 * @param cache stored pieces under this weight version; without it nothing can be imported
 */
export function buildTransferTable(
  pieces: readonly PieceRef[],
  pieceBytes: number,
  cache: PromptCache | undefined,
): TransferTable {
  const count = pieces.length;
  const tokens = new Float64Array(count + 1);
  for (let i = 0; i < count; i += 1) tokens[i + 1] = (tokens[i] ?? 0) + (pieces[i]?.tokens ?? 0);
  const storedRunStart = new Int32Array(count + 1);
  if (cache === undefined) return { tokens, links: [], storedRunStart, importEnds: [] };

  const stores = [...new Set(cache.sources.map((source) => source.store))];
  const pieceMsBySource = cache.sources.map((source) => (pieceBytes / source.bytesPerSecond) * MS_PER_S);
  // A piece that is read from disk occupies the disk and the link at the same time. So the link of each store is one channel, at the
  // rate of its fastest tier, and each slower tier is a further channel.
  const fastestMsByStore = stores.map((store) =>
    Math.min(...pieceMsBySource.filter((_, index) => cache.sources[index]?.store === store)),
  );
  const channels = [
    ...stores.map((store, at) => ({ store, tier: undefined, ms: fastestMsByStore[at] ?? 0 })),
    ...cache.sources.flatMap(({ store, tier }, index) => {
      const ms = pieceMsBySource[index] ?? 0;
      return ms > (fastestMsByStore[stores.indexOf(store)] ?? 0) ? [{ store, tier, ms }] : [];
    }),
  ];
  const links = channels.map(({ store, tier }) => {
    const channelSources = cache.sources.filter(
      (source) => source.store === store && (tier === undefined || source.tier === tier),
    );
    return {
      queueMs: Math.max(...channelSources.map((source) => source.queueMs)),
      sums: new Float64Array(count + 1),
    };
  });
  const msPerChannelBySource = cache.sources.map((source) =>
    channels.map(({ store, tier, ms }) =>
      store === source.store && (tier === undefined || tier === source.tier) ? ms : 0,
    ),
  );
  const importEnds: number[] = [];
  for (let i = 0; i < count; i += 1) {
    const source = cache.stored[i] ?? -1;
    const msPerChannel = msPerChannelBySource[source];
    links.forEach(({ sums }, channel) => {
      sums[i + 1] = (sums[i] ?? 0) + (msPerChannel?.[channel] ?? 0);
    });
    if (msPerChannel === undefined) {
      storedRunStart[i + 1] = i + 1;
      continue;
    }
    storedRunStart[i + 1] = storedRunStart[i] ?? 0;
    if (source !== (cache.stored[i + 1] ?? -1)) importEnds.push(i + 1);
  }
  return { tokens, links, storedRunStart, importEnds: limitImportEnds(importEnds) };
}

/** Returns at most `MAX_IMPORT_ENDS` ends: the last one and an evenly spaced sample of the others. */
function limitImportEnds(importEnds: readonly number[]): readonly number[] {
  if (importEnds.length <= MAX_IMPORT_ENDS) return importEnds;
  const step = (importEnds.length - 1) / (MAX_IMPORT_ENDS - 1);
  return Array.from({ length: MAX_IMPORT_ENDS }, (_, i) => importEnds[Math.round(i * step)] ?? 0);
}
