import type { BackendServer, PoolConfig } from '@laburnumshift/types';
import type { CellState } from './cell-state.js';
import { chooseStores } from './choose-stores.js';
import { createEngineRecord } from './create-engine-record.js';
import { createStoreRecord } from './create-store-record.js';
import { watchEngine } from './watch-engine.js';
import { watchStore } from './watch-store.js';

/** Starts tasks for new engines and stores, and stops those of engines and stores that were removed or changed their address. */
export function reconcilePool(state: CellState, pool: PoolConfig, servers: readonly BackendServer[]): void {
  const { options } = state;
  const reportFailure = (name: string) => (error: unknown) => {
    options.logger.error('task of an engine or store failed', { peer: name, reason: String(error) });
  };
  const stores = chooseStores(pool, options.cell);
  state.pool = pool;
  for (const [name, record] of state.engines) {
    const server = servers.find((candidate) => candidate.name === name);
    if (server?.url === record.server.url) record.server = server;
    else {
      record.abortController.abort();
      record.client.close();
      state.engines.delete(name);
      options.directory.removeEngine(name);
    }
  }
  for (const server of servers) {
    if (state.engines.has(server.name)) continue;
    const record = createEngineRecord(server, options);
    state.engines.set(server.name, record);
    watchEngine(state, record).catch(reportFailure(server.name));
  }
  for (const [name, record] of state.stores) {
    const host = stores.find((candidate) => candidate.name === name);
    if (host?.url === record.host.url) record.host = host;
    else {
      record.abortController.abort();
      record.client.close();
      state.stores.delete(name);
      options.directory.removeStore(name);
    }
  }
  for (const host of stores) {
    if (state.stores.has(host.name)) continue;
    const record = createStoreRecord(host, options);
    state.stores.set(host.name, record);
    watchStore(state, record).catch(reportFailure(host.name));
  }
}
