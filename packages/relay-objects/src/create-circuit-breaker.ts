import { readMonotonicMs } from '@laburnumshift/clock';
import type { CircuitBreaker } from './circuit-breaker.js';

/** Delay before the next probe of a store that does not answer, milliseconds; grows by the factor up to the maximum. */
const MIN_RETRY_DELAY_MS = 300;
const MAX_RETRY_DELAY_MS = 1500;
const BACKOFF_FACTOR = 1.5;
/** Random fraction of a delay, so that hosts do not probe at the same time. */
const JITTER = 0.4;
/** A probe without an outcome blocks further probes for this long, milliseconds: longer than a watch and its slack. */
const PROBE_TIMEOUT_MS = 5000;

/**
 * Creates a closed circuit breaker. While it is open, one call at a time probes the store, whichever kind of object it is for.
 * Each call has a cost, even a refused one, and hundreds of hosts that each probe every kind separately would delay the
 * recovery.
 *
 * @param pickRandom returns a number from 0 to 1
 */
export function createCircuitBreaker(pickRandom: () => number): CircuitBreaker {
  let retryDelayMs = 0;
  let nextProbeMs = -Infinity;
  let lastFailureMs = -Infinity;
  /** When the last counted failure was noticed. */
  let lastFailedMs = -Infinity;
  return {
    admitCall: () => {
      if (retryDelayMs === 0) return true;
      const now = readMonotonicMs();
      if (now < nextProbeMs) return false;
      nextProbeMs = now + PROBE_TIMEOUT_MS;
      return true;
    },
    recordOutcome: (isAnswered, sentMs) => {
      // Calls that were under way together fail together, which is one failure.
      const isCounted = isAnswered || sentMs >= lastFailedMs;
      if (!isAnswered) lastFailureMs = Math.max(lastFailureMs, sentMs);
      if (!isCounted) return;
      if (!isAnswered) lastFailedMs = readMonotonicMs();
      retryDelayMs = isAnswered
        ? 0
        : Math.min(MAX_RETRY_DELAY_MS, Math.max(MIN_RETRY_DELAY_MS, retryDelayMs * BACKOFF_FACTOR));
      nextProbeMs = readMonotonicMs() + retryDelayMs * (1 - JITTER * pickRandom());
    },
    cancelProbe: () => {
      nextProbeMs = -Infinity;
    },
    getMsSinceFailure: () => readMonotonicMs() - lastFailureMs,
    isOpen: () => retryDelayMs > 0,
  };
}
