import type { BackendServer } from '@laburnumshift/types';
import type { CallState } from './call-state.js';

/**
 * Chooses the usable server with the shortest queue among those that have not failed this call. The bytes of the request
 * id decide between equal queues, so that requests spread over them.
 *
 * @returns `undefined` when no server is usable
 */
export function chooseServer(state: CallState): BackendServer | undefined {
  const { deps, pool, exclude, request } = state;
  const usable = pool.servers.filter(
    (server) => deps.isServerUsable(server.name) && !exclude.has(server.name),
  );
  const shortestQueue = Math.min(...usable.map((server) => deps.getQueueLength(server.name)));
  const leastLoaded = usable.filter((server) => deps.getQueueLength(server.name) <= shortestQueue);
  const requestNumber = Buffer.from(request.requestId).reduce((sum, byte) => sum + byte, 0);
  return leastLoaded[requestNumber % Math.max(1, leastLoaded.length)];
}
