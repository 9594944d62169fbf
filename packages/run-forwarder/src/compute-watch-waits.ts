import type { ForwardBounds } from '@laburnumshift/forward-types';

/** Fraction of a bound for which one watch call waits. A connection without traffic is detected 0.6 s after the wait. */
const WAIT_RATIO = 0.6;
/** Fraction of the bound on draining servers for which their changes are batched; together with the wait it stays within the bound. */
const BATCH_DELAY_RATIO = 0.08;
/** Fraction of the bound on new weights: short enough to lose little value to outdated weights when a connection goes silent. */
const WEIGHTS_WAIT_RATIO = 0.2;

/**
 * Fraction of the bound on evacuations: after a connection without traffic, a pause and a slow answer of the store, a quarter of a bound
 * of 5 s is left. The wait for the configuration is used where it is longer and keeps the bound, as each call to the store costs.
 */
const EVACUATIONS_WAIT_RATIO = 0.4;

/**
 * Computes the maximum waits of watch calls, and the maximum delay for batching server changes, in milliseconds, from the bounds on
 * the time until a change takes effect.
 */
export function computeWatchWaits(
  bounds: Pick<ForwardBounds, 'configApplyMs' | 'drainMs' | 'versionMs' | 'evacuateMs'>,
): {
  readonly config: number;
  readonly backends: number;
  readonly weights: number;
  readonly evacuations: number;
  readonly maxBatchDelay: number;
} {
  const { evacuateMs = bounds.configApplyMs } = bounds;
  return {
    config: Math.round(bounds.configApplyMs * WAIT_RATIO),
    backends: Math.round(bounds.drainMs * WAIT_RATIO),
    maxBatchDelay: Math.round(bounds.drainMs * BATCH_DELAY_RATIO),
    evacuations: Math.round(
      Math.max(evacuateMs * EVACUATIONS_WAIT_RATIO, Math.min(evacuateMs, bounds.configApplyMs) * WAIT_RATIO),
    ),
    weights: Math.round(bounds.versionMs * WEIGHTS_WAIT_RATIO),
  };
}
