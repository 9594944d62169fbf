import type { BackendEntry } from '@laburnumshift/forward-types';
import { checkWeights } from './check-weights.js';
import type { ChoiceDeps } from './choice-deps.js';

/**
 * Tells whether this host may send a call to a server that another host chose.
 *
 * @param weights model and version that the other host chose; `undefined` for plain services. A version newer than this host's copy
 *   of the server's entry is accepted: the other host's copy may be newer, and a server refuses calls for weights it does not have.
 */
export function isUsableServer(
  deps: Pick<ChoiceDeps, 'fleet' | 'bounds' | 'notices'>,
  server: BackendEntry,
  weights: { readonly model: string; readonly version: number | undefined } | undefined,
): boolean {
  const { isLeaving, pauseMs } = deps.notices.getAvailability(server);
  if (server.isDraining || server.isEvacuated === true || isLeaving || pauseMs > 0) return false;
  if (weights === undefined) return true;
  const { model, version = 0 } = weights;
  const versions = new Map(server.versions);
  if (version > (versions.get(model) ?? Infinity)) versions.set(model, version);
  return checkWeights(deps, model).isUsable({ ...server, versions });
}
