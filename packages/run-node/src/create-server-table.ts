import { readMonotonicMs, runEvery } from '@laburnumshift/clock';
import { computeRendezvousWeight } from '@laburnumshift/rank-homes';
import type { BackendServer, Config, ServiceClient } from '@laburnumshift/types';
import type { ServerTable } from './server-table.js';

const POLL_MS = 1_000;
/** Time for which a failed server is not used, unless it reports its load earlier. */
const FAILED_RETRY_MS = 2_000;

/** State of one server. */
interface ServerState {
  queue: number;
  leaving: boolean;
  failedUntilMs: number;
}

/** Maximum number of healthy servers of a pool that a node uses. Rendezvous weights spread the nodes evenly over the servers. */
const MAX_HEALTHY_SERVERS = 16;

/**
 * Creates the table of plain service instances. It polls the load of each server in use once a second. In a pool of more than
 * 16 servers, a node uses the 16 with the highest rendezvous weights that are neither leaving nor failed. The number of polls
 * therefore does not grow with the product of nodes and servers.
 */
export function createServerTable(
  host: string,
  getConfig: () => Config | undefined,
  getService: (server: BackendServer) => ServiceClient,
  onError: (error: unknown) => void,
): ServerTable {
  const states = new Map<string, ServerState>();
  let leaving: ReadonlySet<string> = new Set();
  let unused: ReadonlySet<string> = new Set();

  const getState = (name: string): ServerState => {
    const state = states.get(name) ?? { queue: 0, leaving: false, failedUntilMs: 0 };
    states.set(name, state);
    return state;
  };
  const isHealthy = (name: string): boolean => {
    const state = states.get(name);
    if (leaving.has(name) || state?.leaving === true) return false;
    return state === undefined || state.failedUntilMs <= readMonotonicMs();
  };
  const isUsable = (name: string): boolean => !unused.has(name) && isHealthy(name);
  const pollServer = async (server: BackendServer): Promise<void> => {
    const load = await getService(server).readLoad();
    const state = getState(server.name);
    if (load.ok) {
      state.queue = load.value.running + load.value.queued;
      state.leaving = load.value.leaving;
      state.failedUntilMs = 0;
    } else {
      state.failedUntilMs = readMonotonicMs() + FAILED_RETRY_MS;
    }
  };
  /**
   * Chooses the first healthy servers of each pool in rendezvous order. Unhealthy servers that rank before them are polled as
   * well because they may recover.
   */
  const chooseServers = (): BackendServer[] =>
    Object.values(getConfig()?.pools ?? {}).flatMap((pool) => {
      if (pool.kind !== 'plain') return [];
      if (pool.servers.length <= MAX_HEALTHY_SERVERS) return [...pool.servers];
      const ranked = pool.servers
        .map((server) => ({ server, weight: computeRendezvousWeight(host, server.name) }))
        .sort((a, b) => b.weight - a.weight)
        .map(({ server }) => server);
      let healthy = 0;
      return ranked.filter(({ name }) => {
        if (healthy >= MAX_HEALTHY_SERVERS || leaving.has(name)) return false;
        if (isHealthy(name)) healthy += 1;
        return true;
      });
    });
  const listServers = (): readonly BackendServer[] =>
    Object.values(getConfig()?.pools ?? {}).flatMap((pool) => (pool.kind === 'plain' ? pool.servers : []));
  const updateChoice = (): readonly BackendServer[] => {
    const servers = chooseServers();
    const names = new Set(servers.map((server) => server.name));
    unused = new Set(listServers().flatMap(({ name }) => (names.has(name) ? [] : [name])));
    return servers;
  };
  const stop = runEvery(
    POLL_MS,
    async () => {
      const servers = updateChoice();
      const names = new Set(servers.map((server) => server.name));
      for (const name of states.keys()) if (!names.has(name)) states.delete(name);
      await Promise.all(servers.map(pollServer));
    },
    onError,
  );

  return {
    isUsable,
    getQueue: (name) => getState(name).queue,
    reportServer: (name, state) => {
      if (state === 'leaving') getState(name).leaving = true;
      else getState(name).failedUntilMs = readMonotonicMs() + FAILED_RETRY_MS;
      updateChoice();
    },
    setLeaving: (names) => {
      leaving = names;
      updateChoice();
    },
    listStatus: () =>
      listServers().map(({ name }) => ({ name, usable: isUsable(name), queue: getState(name).queue })),
    close: stop,
  };
}
