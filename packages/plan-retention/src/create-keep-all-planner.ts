import type { CacheDirectory, RetentionPlanner, RunReport, StoreState } from '@laburnumshift/types';
import { StoreChangePlan } from './store-change-plan.js';
import { chooseStore } from './choose-store.js';
import { computePieceBytes } from './compute-piece-bytes.js';
import { FILL_THRESHOLDS } from './fill-thresholds.js';
import type { RankedPiece } from './ranked-piece.js';
import type { RetentionPlannerOptions } from './retention-planner-options.js';

const DEFAULT_MAX_TRACKED_PIECES = 200_000;

const TIER_ORDER = ['memory', 'disk'] as const;

/**
 * Lists the pieces of a store in order of last use, the least recently used first. Pieces without a known use come
 * first.
 */
function rankByLastUse(
  useOrder: ReadonlyMap<string, number>,
  store: StoreState,
  directory: CacheDirectory,
): RankedPiece[] {
  return directory
    .listStoredPieces(store.host.name)
    .map((piece) => ({
      piece,
      use: undefined,
      density: useOrder.get(`${piece.scope}:${piece.chain}`) ?? Number.NEGATIVE_INFINITY,
    }))
    .sort((a, b) => a.density - b.density);
}

/** Plans LRU eviction for a store: from disk by deletion, and from memory by moves to the disk. */
function planLruEviction(ranked: readonly RankedPiece[], store: string, plan: StoreChangePlan): void {
  const onDisk = ranked.filter((entry) => entry.piece.tier === 'disk');
  const evictFromDisk = (bytes: number): void => {
    while (plan.isFilledBeyond(store, 'disk', FILL_THRESHOLDS.eviction, bytes)) {
      const oldest = onDisk.shift();
      if (oldest === undefined) return;
      plan.deletePiece(oldest);
    }
  };
  evictFromDisk(0);
  for (const entry of ranked) {
    if (entry.piece.tier !== 'memory') continue;
    if (!plan.isFilledBeyond(store, 'memory', FILL_THRESHOLDS.eviction)) return;
    evictFromDisk(entry.piece.bytes);
    plan.movePiece(entry, 'disk');
  }
}

/**
 * Creates the baseline planner that exports every piece, to memory while it has room, and evicts the least recently
 * used pieces from memory to disk and then from disk.
 */
export function createKeepAllPlanner(options: RetentionPlannerOptions): RetentionPlanner {
  const useOrder = new Map<string, number>();
  let nextOrder = 0;
  const recordUse = (report: RunReport): void => {
    // The first piece counts as the most recently used one, so that a prompt is evicted from its end.
    for (const { chain } of [...report.pieces].reverse()) {
      const key = `${report.cacheScope}:${chain}`;
      useOrder.delete(key);
      useOrder.set(key, nextOrder++);
    }
    for (const key of useOrder.keys()) {
      if (useOrder.size <= (options.maxTrackedPieces ?? DEFAULT_MAX_TRACKED_PIECES)) return;
      useOrder.delete(key);
    }
  };
  return {
    recordUse,
    planExports: (report, stores, directory) => {
      const store = chooseStore(report, stores, directory);
      if (store === undefined) return [];
      const liveStores = new Set(stores.filter((view) => view.alive).map((view) => view.host.name));
      const plan = new StoreChangePlan([store]);
      return report.pieces
        .filter(({ chain }) =>
          directory.findStoredCopies(report.cacheScope, chain).every((piece) => !liveStores.has(piece.store)),
        )
        .flatMap(({ chain, tokens }) => {
          const bytes = computePieceBytes(options, tokens);
          const tier = TIER_ORDER.find(
            (name) => !plan.isFilledBeyond(store.host.name, name, FILL_THRESHOLDS.full, bytes),
          );
          if (tier === undefined) return [];
          plan.addBytes(store.host.name, tier, bytes);
          const place = { engine: report.engine, store: store.host.name, tier, scope: report.cacheScope };
          return [{ ...place, chain, bytes, value: 0 }];
        });
    },
    planChanges: (stores, directory) => {
      const liveStores = stores.filter((store) => store.alive && store.stat !== undefined);
      const plan = new StoreChangePlan(liveStores);
      for (const store of liveStores)
        planLruEviction(rankByLastUse(useOrder, store, directory), store.host.name, plan);
      return plan.changes;
    },
  };
}
