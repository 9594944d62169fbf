import type { CacheDirectory, RetentionPlanner, RunReport, StoreView } from '@laburnumshift/types';
import { ChangeDraft } from './change-draft.js';
import { chooseStore } from './choose-store.js';
import { computePieceBytes } from './compute-piece-bytes.js';
import { FILL_LIMITS } from './fill-limits.js';
import type { RankedPiece } from './ranked-piece.js';
import type { RetentionPlannerOptions } from './retention-planner-options.js';

const MAX_PIECES = 200_000;

const TIER_ORDER = ['memory', 'disk'] as const;

/** Ranks the pieces of a store, the least recently used one in front. */
function rankByUse(
  uses: ReadonlyMap<string, number>,
  store: StoreView,
  directory: CacheDirectory,
): RankedPiece[] {
  return directory
    .listStored(store.host.name)
    .map((piece) => ({
      piece,
      use: undefined,
      density: uses.get(`${piece.scope}:${piece.chain}`) ?? Number.NEGATIVE_INFINITY,
    }))
    .sort((a, b) => a.density - b.density);
}

/** Passes the least recently used pieces of memory on to the disk, which gives up its own for good. */
function planLeastRecent(ranked: readonly RankedPiece[], store: string, draft: ChangeDraft): void {
  const onDisk = ranked.filter((entry) => entry.piece.tier === 'disk');
  const dropFromDisk = (bytes: number): void => {
    while (draft.isBeyond(store, 'disk', FILL_LIMITS.pressure, bytes)) {
      const oldest = onDisk.shift();
      if (oldest === undefined) return;
      draft.deletePiece(oldest);
    }
  };
  dropFromDisk(0);
  for (const entry of ranked) {
    if (entry.piece.tier !== 'memory') continue;
    if (!draft.isBeyond(store, 'memory', FILL_LIMITS.pressure)) return;
    dropFromDisk(entry.piece.bytes);
    draft.movePiece(entry, 'disk');
  }
}

/** Creates the baseline that exports every piece to memory and gives up the least recently used ones: to disk, then for good. */
export function createKeepAllPlanner(options: RetentionPlannerOptions): RetentionPlanner {
  const uses = new Map<string, number>();
  let order = 0;
  const recordUse = (report: RunReport): void => {
    // The first piece is the most recent one, so that a prompt is given up from its end.
    for (const { chain } of [...report.pieces].reverse()) {
      const key = `${report.cacheScope}:${chain}`;
      uses.delete(key);
      uses.set(key, order++);
    }
    for (const key of uses.keys()) {
      if (uses.size <= (options.maxPieces ?? MAX_PIECES)) return;
      uses.delete(key);
    }
  };
  return {
    recordUse,
    planExports: (report, stores, directory) => {
      const store = chooseStore(report, stores, directory);
      if (store === undefined) return [];
      const living = new Set(stores.filter((view) => view.alive).map((view) => view.host.name));
      const draft = new ChangeDraft([store]);
      return report.pieces
        .filter(({ chain }) =>
          directory.findStored(report.cacheScope, chain).every((piece) => !living.has(piece.store)),
        )
        .flatMap(({ chain, tokens }) => {
          const bytes = computePieceBytes(options, tokens);
          const tier = TIER_ORDER.find(
            (name) => !draft.isBeyond(store.host.name, name, FILL_LIMITS.full, bytes),
          );
          if (tier === undefined) return [];
          draft.addBytes(store.host.name, tier, bytes);
          const place = { engine: report.engine, store: store.host.name, tier, scope: report.cacheScope };
          return [{ ...place, chain, bytes, value: 0 }];
        });
    },
    planChanges: (stores, directory) => {
      const living = stores.filter((store) => store.alive && store.stat !== undefined);
      const draft = new ChangeDraft(living);
      for (const store of living) planLeastRecent(rankByUse(uses, store, directory), store.host.name, draft);
      return draft.changes;
    },
  };
}
