import { isUsableServer } from '@laburnumshift/choose-server';
import type { BackendEntry } from '@laburnumshift/forward-types';
import type { ForwarderDependencies } from './forwarder-dependencies.js';

/**
 * Returns the newest entry of a server process if this host may send a call to it now, otherwise `undefined`. A run returns to the
 * engine that stopped it although that engine leaves, as it has the memory of the run; all other reasons against the engine hold.
 *
 * @param weights model and version of the run; `undefined` when they were examined before
 */
export function findAllowedTarget(
  deps: Pick<ForwarderDependencies, 'fleet' | 'bounds' | 'notices'>,
  server: BackendEntry,
  weights: Parameters<typeof isUsableServer>[2],
  isReturning: boolean,
): BackendEntry | undefined {
  const entry = deps.fleet.getBackend(server.id) ?? (isReturning ? server : undefined);
  if (entry?.bornMs !== server.bornMs || entry.address !== server.address) return undefined;
  if (!isReturning) return isUsableServer(deps, entry, weights) ? entry : undefined;
  const notices = {
    getAvailability: () => ({ ...deps.notices.getAvailability(entry), isLeaving: false }),
  };
  return isUsableServer({ ...deps, notices }, { ...entry, isDraining: false }, weights) ? entry : undefined;
}
