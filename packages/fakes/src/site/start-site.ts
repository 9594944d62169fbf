import type { HostEntry, PoolConfig } from '@laburnumshift/types';
import { LoadGroup, startFakeEngine, type FakeEngine } from '../engine/index.js';
import { startFakeOlderSystem } from '../older-system/index.js';
import { startFakePlatform } from '../platform/index.js';
import { startFakeService, type FakeService } from '../service/index.js';
import { startFakeStore, type FakeStore } from '../store/index.js';
import type { SiteOptions } from './site-options.js';
import type { Site } from './site.js';

const ENGINE_PIECES = 64;

/** Starts a fake for each backend server and store of the pools, a platform and an older system, all on free ports. */
export async function startSite(options: SiteOptions): Promise<Site> {
  const platform = await startFakePlatform(options.platform);
  const older = await startFakeOlderSystem();
  const engines = new Map<string, FakeEngine>();
  const stores = new Map<string, FakeStore>();
  const services = new Map<string, FakeService>();
  const addresses = new Map<string, string>();
  const leaving = new Set<string>();
  let nodes: readonly HostEntry[] = [];

  const startEngines = async (pool: PoolConfig): Promise<void> => {
    const loadGroup = new LoadGroup();
    for (const server of pool.servers) {
      const engine = await startFakeEngine({
        name: server.name,
        model: pool.model ?? 'model',
        weightVersion: pool.weightVersion ?? 'v1',
        adapters: pool.adapters,
        slots: server.slots,
        prefillTokensPerSecond: server.prefillTokensPerSecond,
        decodeTokensPerSecond: server.decodeTokensPerSecond,
        cacheBytes: (options.enginePieces ?? ENGINE_PIECES) * pool.pieceBytes,
        pieceBytes: pool.pieceBytes,
        pieceTokens: pool.pieceTokens,
        checksFencing: server.checksFencing,
        platformUrl: platform.url,
        loadGroup,
        ...options.engine,
      });
      engines.set(server.name, engine);
      addresses.set(server.url, engine.url);
    }
  };
  const startServices = async (pool: PoolConfig): Promise<void> => {
    const runs = new Map<string, number>();
    for (const server of pool.servers) {
      const service = await startFakeService({ name: server.name, runs });
      services.set(server.name, service);
      addresses.set(server.url, service.url);
    }
  };
  const updateHosts = (): void => {
    const servers = options.pools.flatMap((pool) =>
      pool.servers.map((server): HostEntry => ({
        host: server.name,
        kind: pool.kind === 'model' ? 'engine' : 'service',
        failureDomain: server.failureDomain,
        state: leaving.has(server.name) ? 'leaving' : 'live',
      })),
    );
    platform.setHosts([...nodes, ...servers]);
  };

  for (const pool of options.pools) {
    await (pool.kind === 'model' ? startEngines(pool) : startServices(pool));
    for (const host of pool.stores) {
      const { name, memoryBytes, diskBytes, linkBytesPerSecond, diskBytesPerSecond } = host;
      const store = await startFakeStore({
        name,
        memoryBytes,
        diskBytes,
        linkBytesPerSecond,
        diskBytesPerSecond,
      });
      stores.set(name, store);
      addresses.set(host.url, store.url);
    }
  }
  updateHosts();
  return {
    platform,
    older,
    engines,
    stores,
    services,
    addresses,
    setNodes: (next) => {
      nodes = next;
      updateHosts();
    },
    setLeaving: (name, isLeaving) => {
      if (isLeaving) leaving.add(name);
      else leaving.delete(name);
      updateHosts();
    },
    close: async () => {
      const parts = [...engines.values(), ...stores.values(), ...services.values(), older];
      await Promise.all([...parts.map((part) => part.close()), platform.stop()]);
    },
  };
}
