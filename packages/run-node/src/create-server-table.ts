import { readMonotonicMs, runEvery } from '@laburnumshift/clock';
import type { BackendServer, Config, ServiceClient } from '@laburnumshift/types';
import type { ServerTable } from './server-table.js';

const POLL_MS = 1_000;
/** A server that failed is tried again after this time, or as soon as it reports its load. */
const FAILED_MS = 2_000;

/** What is known of one server. */
interface ServerState {
  queue: number;
  leaving: boolean;
  failedUntilMs: number;
}

/** Creates the table of plain service instances. Each server is asked for its load once a second. */
export function createServerTable(
  getConfig: () => Config | undefined,
  getService: (server: BackendServer) => ServiceClient,
  onError: (error: unknown) => void,
): ServerTable {
  const states = new Map<string, ServerState>();
  let leaving: ReadonlySet<string> = new Set();

  const getState = (name: string): ServerState => {
    const state = states.get(name) ?? { queue: 0, leaving: false, failedUntilMs: 0 };
    states.set(name, state);
    return state;
  };
  const isUsable = (name: string): boolean => {
    const state = getState(name);
    return !leaving.has(name) && !state.leaving && state.failedUntilMs <= readMonotonicMs();
  };
  const pollServer = async (server: BackendServer): Promise<void> => {
    const load = await getService(server).readLoad();
    const state = getState(server.name);
    if (load.ok) {
      state.queue = load.value.running + load.value.queued;
      state.leaving = load.value.leaving;
      state.failedUntilMs = 0;
    } else {
      state.failedUntilMs = readMonotonicMs() + FAILED_MS;
    }
  };
  const listServers = (): readonly BackendServer[] =>
    Object.values(getConfig()?.pools ?? {}).flatMap((pool) => (pool.kind === 'plain' ? pool.servers : []));
  const stop = runEvery(
    POLL_MS,
    async () => {
      const servers = listServers();
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
      else getState(name).failedUntilMs = readMonotonicMs() + FAILED_MS;
    },
    setLeaving: (names) => {
      leaving = names;
    },
    listStatus: () =>
      listServers().map(({ name }) => ({ name, usable: isUsable(name), queue: getState(name).queue })),
    close: stop,
  };
}
