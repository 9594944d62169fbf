import { createEngineClient } from '@laburnumshift/call-engine';
import { createOlderSystemClient } from '@laburnumshift/call-older-system';
import { createServiceClient } from '@laburnumshift/call-service';
import { createStoreClient } from '@laburnumshift/call-store';
import type {
  Config,
  EngineClient,
  OlderSystemClient,
  ServiceClient,
  StoreClient,
} from '@laburnumshift/types';
import type { PeerClients } from './peer-clients.js';

/** Creates the clients of one node. A client is created on its first use. */
export function createPeerClients(): PeerClients {
  const engines = new Map<string, EngineClient>();
  const stores = new Map<string, StoreClient>();
  const services = new Map<string, ServiceClient>();
  const olderSystems = new Map<string, OlderSystemClient>();

  const dropOthers = (clients: Map<string, { close: () => void }>, used: ReadonlySet<string>): void => {
    for (const [key, client] of clients) {
      if (used.has(key)) continue;
      client.close();
      clients.delete(key);
    }
  };
  const dropUnused = (config: Config): void => {
    const pools = Object.values(config.pools);
    const servers = new Set(pools.flatMap((pool) => pool.servers.map((server) => server.url)));
    dropOthers(engines, servers);
    dropOthers(services, servers);
    dropOthers(stores, new Set(pools.flatMap((pool) => pool.stores.map((store) => store.url))));
    const older = Object.values(config.services).flatMap((service) => service.cutover?.olderUrl ?? []);
    dropOthers(olderSystems, new Set(older));
  };

  return {
    getEngine: (_name, url) => getClient(engines, url, () => createEngineClient({ url })),
    getStore: ({ name, url }) => getClient(stores, url, () => createStoreClient({ name, url })),
    getService: ({ url }) => getClient(services, url, () => createServiceClient({ url })),
    getOlder: (url) => getClient(olderSystems, url, () => createOlderSystemClient({ url })),
    dropUnused,
    close: () => {
      for (const clients of [engines, stores, services, olderSystems]) dropOthers(clients, new Set());
    },
  };
}

function getClient<T>(clients: Map<string, T>, url: string, create: () => T): T {
  const client = clients.get(url) ?? create();
  clients.set(url, client);
  return client;
}
