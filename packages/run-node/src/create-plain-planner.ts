import type { PoolConfig, RetentionPlanner } from '@laburnumshift/types';

/** Creates a planner that exports every full piece of a finished run to the first store that works. */
export function createPlainPlanner(pool: PoolConfig): RetentionPlanner {
  return {
    recordUse: () => undefined,
    planExports: (report, stores, directory) => {
      const store = stores.find((view) => view.alive);
      if (store === undefined) return [];
      return report.pieces
        .filter((piece) => piece.tokens === pool.pieceTokens)
        .filter((piece) => directory.findStored(report.cacheScope, piece.chain).length === 0)
        .map((piece) => ({
          engine: report.engine,
          store: store.host.name,
          tier: 'disk' as const,
          scope: report.cacheScope,
          chain: piece.chain,
          bytes: pool.pieceBytes,
          value: 1,
        }));
    },
    planChanges: () => [],
  };
}
