import type { BackendServer } from '@laburnumshift/types';
import type { CallState } from './call-state.js';

/** Chooses the usable server with the shortest queue that has not failed this call; equal queues take turns by request. */
export function chooseServer(state: CallState): BackendServer | undefined {
  const { deps, pool, exclude, job } = state;
  const usable = pool.servers.filter((server) => deps.isUsable(server.name) && !exclude.has(server.name));
  const shortest = Math.min(...usable.map((server) => deps.getQueue(server.name)));
  const equal = usable.filter((server) => deps.getQueue(server.name) <= shortest);
  const turn = Buffer.from(job.requestId).reduce((sum, byte) => sum + byte, 0);
  return equal[turn % Math.max(1, equal.length)];
}
