import type { CacheDirectory, RunReport, StoreState } from '@laburnumshift/types';

/** Computes the free share of a store's memory and disk together, 0 to 1; 0 when it sent no report. */
function computeFreeShare({ stat }: StoreState): number {
  if (stat === undefined) return 0;
  const bytes = stat.memoryBytes + stat.diskBytes;
  return bytes <= 0 ? 0 : 1 - (stat.memoryUsed + stat.diskUsed) / bytes;
}

/**
 * Chooses the store for the pieces of a prompt: the live store that already has the first piece, otherwise the live
 * store with the largest free share. All pieces of a prompt are in one store so that the failure of a store affects few
 * prompts.
 */
export function chooseStore(
  report: RunReport,
  stores: readonly StoreState[],
  directory: CacheDirectory,
): StoreState | undefined {
  const liveStores = stores.filter((store) => store.alive && store.stat !== undefined);
  const storedFirstPieces = directory.findStoredCopies(report.cacheScope, report.pieces[0]?.chain ?? '');
  const holder = liveStores.find((store) =>
    storedFirstPieces.some((piece) => piece.store === store.host.name),
  );
  if (holder !== undefined) return holder;
  return liveStores.reduce<StoreState | undefined>(
    (best, store) => (best === undefined || computeFreeShare(store) > computeFreeShare(best) ? store : best),
    undefined,
  );
}
