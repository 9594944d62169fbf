import type { EngineState } from './engine-state.js';

/** A shorter queue is within the error of the load reports. */
const BUSY_QUEUE_MS = 20;
/** Bounds the factor when every engine is busy. */
const MAX_CONGESTION = 3;

/**
 * Computes how many milliseconds of waiting one millisecond of prefill costs the requests that come after it. While at
 * least half of the engines are idle, a recomputation delays nobody.
 */
export function computeCongestion(engines: readonly EngineState[]): number {
  let busy = 0;
  let idle = 0;
  for (const engine of engines) {
    if (engine.queueMs > BUSY_QUEUE_MS) busy += 1;
    else if (engine.usable) idle += 1;
  }
  return Math.min(Math.max(0, busy - idle) / Math.max(idle, 1), MAX_CONGESTION);
}
