import type { ServerState } from '@laburnumshift/track-engines';
import type { ChoiceDeps } from './choice-deps.js';

/** Half-life of the load that a server reported, milliseconds: about the run time of a call. */
const LOAD_HALF_LIFE_MS = 1500;

/**
 * Estimates the calls of other hosts at a server: the larger of what those hosts report and what the server's last reported load
 * implies, which covers hosts whose reports do not arrive.
 */
export function countOtherCalls(
  deps: Pick<ChoiceDeps, 'sharing'>,
  server: string,
  state: ServerState,
): number {
  const reportedByHosts = deps.sharing.getLoadOfOthers(server).inFlight;
  if (state.load === undefined) return reportedByHosts;
  const reportedByServer = Math.max(0, state.load.running + state.load.waiting - state.inFlightAtLoad);
  return Math.max(reportedByHosts, reportedByServer * 0.5 ** (state.loadAgeMs / LOAD_HALF_LIFE_MS));
}
