import { createEngineClient } from '@laburnumshift/call-engine';
import { createStoreClient } from '@laburnumshift/call-store';
import type { Logger } from '@laburnumshift/logger';
import { createRetentionPlanner } from '@laburnumshift/plan-retention';
import { createCacheDirectory } from '@laburnumshift/track-cache';
import type { Config, Quarantine, RetentionPlanner } from '@laburnumshift/types';
import type { Metrics } from '@laburnumshift/record-metrics';
import type { CellHomes } from './cell-homes.js';
import type { NodeOptions } from './node-options.js';
import type { SuspectMemory } from './suspect-memory.js';
import { createCellHomes } from './create-cell-homes.js';

/** Weights of a service that is no longer configured while its last runs end. */
const NO_WEIGHTS = { perMs: 0, perKiloTokenRecomputed: 0, perMebibyteMoved: 0 };

/** Creates the cell table of a node, with the clients, cache directories and retention planners of its cells. */
export function createHomes(
  isHome: (pool: string, cell: number) => boolean,
  getConfig: () => Config | undefined,
  quarantine: Quarantine,
  suspects: SuspectMemory,
  metrics: Metrics,
  logger: Logger,
  { policy, createPlanner = createRetentionPlanner }: NodeOptions,
): CellHomes {
  const createPoolPlanner = (config: Config, name: string): RetentionPlanner => {
    const pool = config.pools[name];
    const rates = pool?.servers.map((server) => server.prefillTokensPerSecond) ?? [];
    return createPlanner({
      pieceBytes: pool?.pieceBytes ?? 1,
      pieceTokens: pool?.pieceTokens ?? 1,
      prefillTokensPerSecond: Math.max(1, Math.min(...rates)),
      getWeights: (service) => getConfig()?.services[service]?.weights ?? NO_WEIGHTS,
      getQuotaBytes: (account) => getConfig()?.accounts[account]?.storeBytes ?? 0,
    });
  };
  return createCellHomes(
    {
      createEngineClient: ({ url }) => createEngineClient({ url }),
      createStoreClient: ({ name, url }) => createStoreClient({ name, url }),
      createDirectory: () => createCacheDirectory(),
      createPlanner: createPoolPlanner,
      policy,
      isHome,
      isSuspect: suspects.isSuspect,
      onEngineCrash: (fingerprints, engine) => {
        logger.warn('an engine crashed', { engine, requests: fingerprints.length });
        for (const fingerprint of fingerprints) {
          suspects.addSuspect(fingerprint);
          // The entry node may have failed together with the engine, so the cell home reports the crash too. Only the entry
          // node knows whether the request ran isolated, so this report never convicts the request.
          void quarantine.reportCrash(fingerprint, engine, '', false);
        }
      },
      metrics: {
        addCount: (name, amount) => {
          metrics.addToCounter(name, {}, amount);
        },
        recordValue: (name, value) => {
          metrics.recordDuration(name, value);
        },
      },
      logger,
    },
    logger,
  );
}
