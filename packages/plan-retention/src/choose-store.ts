import type { CacheDirectory, RunReport, StoreView } from '@laburnumshift/types';

/** Free share of the larger part of the store. */
function computeFreeShare({ stat }: StoreView): number {
  if (stat === undefined) return 0;
  const bytes = stat.memoryBytes + stat.diskBytes;
  return bytes <= 0 ? 0 : 1 - (stat.memoryUsed + stat.diskUsed) / bytes;
}

/**
 * Chooses the store for a prompt: the living one that already has its first piece, so that one dead store costs few prompts,
 * otherwise the one with the most room.
 */
export function chooseStore(
  report: RunReport,
  stores: readonly StoreView[],
  directory: CacheDirectory,
): StoreView | undefined {
  const living = stores.filter((store) => store.alive && store.stat !== undefined);
  const first = directory.findStored(report.cacheScope, report.pieces[0]?.chain ?? '');
  const holder = living.find((store) => first.some((piece) => piece.store === store.host.name));
  if (holder !== undefined) return holder;
  return living.reduce<StoreView | undefined>(
    (best, store) => (best === undefined || computeFreeShare(store) > computeFreeShare(best) ? store : best),
    undefined,
  );
}
