import type { CallTiming } from './call-timing.js';

/**
 * Largest share of the elapsed time that may be queue. Above it the rest consists mostly of the error of the expected queue, and would be
 * learned as the cost of the call.
 */
const MAX_QUEUE_SHARE = 0.5;

/** Computes the time that a call would take at a server of usual speed without a queue; `undefined` when the timing does not tell. */
export function computeServiceMs({ elapsedMs, queueMs, slowness }: CallTiming): number | undefined {
  const isValid = [elapsedMs, queueMs, slowness].every(Number.isFinite) && elapsedMs > 0 && slowness > 0;
  if (!isValid || queueMs > elapsedMs * MAX_QUEUE_SHARE) return undefined;
  return (elapsedMs - Math.max(0, queueMs)) / slowness;
}
