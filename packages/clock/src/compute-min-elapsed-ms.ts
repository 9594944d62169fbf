import type { Moment } from './moment.js';
import { readMonotonicMs } from './read-monotonic-ms.js';

/**
 * Computes a lower bound of the time since a moment, milliseconds, for waits that must not end early. The monotonic clock may stand
 * still while the host is suspended, and a step of the wall clock does not change it.
 */
export function computeMinElapsedMs(since: Moment): number {
  return readMonotonicMs() - since.monotonicMs;
}
