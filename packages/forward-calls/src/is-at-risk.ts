import type { ForwarderDependencies } from './forwarder-dependencies.js';

/** Share of recent calls that failed from which on an engine counts as at risk: about two of the last eight. */
const RISK_FAILURE_SHARE = 0.2;

/** True when calls to an engine failed recently, so that its runs may be lost. */
export function isAtRisk(deps: Pick<ForwarderDependencies, 'serverTracker'>, server: string): boolean {
  return deps.serverTracker.getState(server).failureShare >= RISK_FAILURE_SHARE;
}
