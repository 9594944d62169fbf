import { readMonotonicMs, sleep, startTimer } from '@laburnumshift/clock';
import { PLATFORM_CALL_CLASSES, type PlatformCallClass } from '@laburnumshift/types';

/**
 * Fraction of the capacity that each class must leave unused for the next more urgent class, so that a burst of cleanup calls
 * cannot delay the journal.
 */
const RESERVED_SHARE = 0.1;

interface Waiter {
  readonly rank: number;
  readonly resolve: (granted: boolean) => void;
  /** Aborts the timeout of the wait. */
  readonly timeoutController: AbortController;
}

/** A token bucket whose tokens are granted by class, and within a class in order of arrival. */
interface RateLimiter {
  /** Waits up to `waitMs` milliseconds for a token; false when none was granted in that time. */
  readonly takeToken: (callClass: PlatformCallClass, waitMs: number) => Promise<boolean>;
}

/** Creates a token bucket that is refilled at `perSecond` and holds the tokens of one second, at least one. */
export function createRateLimiter(perSecond: number): RateLimiter {
  const capacity = Math.max(1, perSecond);
  const waiters: Waiter[] = [];
  let tokens = capacity;
  let refilledMs = readMonotonicMs();
  let cancelWakeUp: (() => void) | undefined;

  const computeRequiredTokens = (rank: number): number => 1 + rank * RESERVED_SHARE * (capacity - 1);

  const grantTokens = (): void => {
    const now = readMonotonicMs();
    tokens = Math.min(capacity, tokens + ((now - refilledMs) / 1000) * perSecond);
    refilledMs = now;
    cancelWakeUp?.();
    cancelWakeUp = undefined;
    let first = waiters[0];
    while (first !== undefined && tokens >= computeRequiredTokens(first.rank)) {
      tokens -= 1;
      waiters.shift();
      first.resolve(true);
      first.timeoutController.abort();
      first = waiters[0];
    }
    if (first === undefined) return;
    const missing = computeRequiredTokens(first.rank) - tokens;
    cancelWakeUp = startTimer(Math.ceil((missing / perSecond) * 1000), grantTokens);
  };

  return {
    takeToken: (callClass, waitMs) =>
      new Promise((resolve) => {
        const waiter: Waiter = {
          rank: PLATFORM_CALL_CLASSES[callClass],
          resolve,
          timeoutController: new AbortController(),
        };
        // `sleep` keeps the process alive, so that a command does not exit while it waits for a token.
        void sleep(waitMs, waiter.timeoutController.signal).then(() => {
          const index = waiters.indexOf(waiter);
          if (index >= 0) waiters.splice(index, 1);
          resolve(false);
        });
        const insertAt = waiters.findIndex((other) => other.rank > waiter.rank);
        waiters.splice(insertAt < 0 ? waiters.length : insertAt, 0, waiter);
        grantTokens();
      }),
  };
}
