import type { ForwardBounds } from '@laburnumshift/forward-types';

/** Share of a bound for which one watch call waits. A silent connection is noticed 0.6 s after the wait. */
const WAIT_SHARE = 0.6;
/** Share of the bound on leaving servers for which their changes are gathered; with the wait it is inside. */
const GATHER_SHARE = 0.08;
/** Weights are looked for often enough to lose little value to old ones when a connection goes silent. */
const WEIGHTS_SHARE = 0.2;

/** Longest waits of watch calls and the longest pause after changed servers, milliseconds, from the bounds on acting on a change. */
export function computeWatchWaits(bounds: Pick<ForwardBounds, 'configApplyMs' | 'drainMs' | 'versionMs'>): {
  readonly config: number;
  readonly backends: number;
  readonly weights: number;
  readonly maxGather: number;
} {
  return {
    config: Math.round(bounds.configApplyMs * WAIT_SHARE),
    backends: Math.round(bounds.drainMs * WAIT_SHARE),
    maxGather: Math.round(bounds.drainMs * GATHER_SHARE),
    weights: Math.round(bounds.versionMs * WEIGHTS_SHARE),
  };
}
