import type { ConfigSegment, PoolConfig, ServiceConfig } from '@laburnumshift/types';
import { ACCOUNTS } from './accounts.js';
import { MODEL } from './model.js';
import { POOLS } from './pools.js';
import type { ConfigValues } from './config-values.js';
import { SERVICES } from './services.js';

const DEADLINE_MS = 5_000;
const WEIGHTS = { perMs: 1, perKiloTokenRecomputed: 50, perMebibyteMoved: 0.05 };
const RETRY = { ratio: 0.5, minPerSecond: 20, maxAttempts: 3 };

/** Builds the published files by folder: accounts, model services with their pool, plain services with theirs. */
export function buildSegments(
  values: ConfigValues,
  addresses: ReadonlyMap<string, string>,
  olderUrl: string,
): Readonly<Record<'accounts' | 'stories' | 'desks', ConfigSegment>> {
  const [stories, desks] = POOLS;
  const buildService = (name: string, kind: 'model' | 'plain'): ServiceConfig => ({
    name,
    kind,
    priority: 'normal',
    idempotent: kind === 'model',
    accounts: '*',
    ...(kind === 'model' ? { model: MODEL } : {}),
    deadlineMs: DEADLINE_MS,
    weights: WEIGHTS,
    retry: RETRY,
    ...(name.startsWith('moving-') ? { cutover: { olderUrl, olderShare: values.olderShare } } : {}),
  });
  const replaceUrls = (pool: PoolConfig): PoolConfig => ({
    ...pool,
    servers: pool.servers.map((server) => ({ ...server, url: addresses.get(server.url) ?? server.url })),
    stores: pool.stores.map((store) => ({ ...store, url: addresses.get(store.url) ?? store.url })),
  });
  const buildFile = (
    pool: PoolConfig,
    services: readonly string[],
    kind: 'model' | 'plain',
  ): ConfigSegment => ({
    file: `${pool.name}.laburnum.jsonc`,
    accounts: [],
    services: services.map((name) => buildService(name, kind)),
    pools: [replaceUrls(pool)],
    routes: services.map((service) => ({
      name: `service/${service}`,
      order: 1_000,
      service,
      pool: pool.name,
    })),
  });
  return {
    accounts: {
      file: 'accounts.laburnum.jsonc',
      accounts: ACCOUNTS.map(({ config }) => ({ ...config, weight: values.accountWeight })),
      services: [],
      pools: [],
      routes: [],
    },
    stories: buildFile({ ...stories, weightVersion: values.weightVersion }, SERVICES.completions, 'model'),
    desks: buildFile(desks, SERVICES.bookings, 'plain'),
  };
}
