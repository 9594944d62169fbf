import type { Moment } from './moment.js';
import { readMoment } from './read-moment.js';

/**
 * Computes an upper bound of the time since a moment, milliseconds. The monotonic clock may stand still while the host is
 * suspended and the wall clock may be set back, so the larger of the two differences is returned.
 */
export function computeElapsedMs(since: Moment): number {
  const now = readMoment();
  return Math.max(now.monotonicMs - since.monotonicMs, now.wallMs - since.wallMs);
}
