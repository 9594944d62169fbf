import type { EngineState } from './engine-state.js';

/** Queue time above which an engine counts as busy; a shorter one is within the error of the load reports. */
const BUSY_QUEUE_MS = 20;
/** Upper bound on the factor, reached when nearly every engine is busy. */
const MAX_CONGESTION_FACTOR = 3;

/**
 * Estimates the milliseconds of waiting that one millisecond of prefill causes for later requests, from 0 to
 * `MAX_CONGESTION_FACTOR`. The factor is 0 while at least as many engines are idle as are busy: a recomputation then delays no
 * other request.
 */
export function computeCongestionFactor(engines: readonly EngineState[]): number {
  let busy = 0;
  let idle = 0;
  for (const engine of engines) {
    if (engine.queueMs > BUSY_QUEUE_MS) busy += 1;
    else if (engine.usable) idle += 1;
  }
  return Math.min(Math.max(0, busy - idle) / Math.max(idle, 1), MAX_CONGESTION_FACTOR);
}
