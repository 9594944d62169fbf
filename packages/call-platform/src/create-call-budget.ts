import { readMonotonicMs, sleep, startTimer } from '@laburnumshift/clock';
import { PLATFORM_CLASSES, type PlatformClass } from '@laburnumshift/types';

/** Part of the budget that each class leaves to the class above it, so that a burst of cleanup cannot delay the journal. */
const RESERVED_SHARE = 0.1;

interface Waiter {
  readonly rank: number;
  readonly resolve: (granted: boolean) => void;
  /** Ends the wait for a token. */
  readonly stopper: AbortController;
}

/** Tokens for calls, given out by class, then in order of arrival. */
interface CallBudget {
  /** Waits for a token at most some milliseconds; false when there was none in time. */
  readonly takeToken: (callClass: PlatformClass, waitMs: number) => Promise<boolean>;
}

/** Creates a budget that holds one second's worth of tokens, at least one. */
export function createCallBudget(perSecond: number): CallBudget {
  const capacity = Math.max(1, perSecond);
  const waiters: Waiter[] = [];
  let tokens = capacity;
  let filledAt = readMonotonicMs();
  let cancelWakeUp: (() => void) | undefined;

  const computeNeed = (rank: number): number => 1 + rank * RESERVED_SHARE * (capacity - 1);

  const grantTokens = (): void => {
    const now = readMonotonicMs();
    tokens = Math.min(capacity, tokens + ((now - filledAt) / 1000) * perSecond);
    filledAt = now;
    cancelWakeUp?.();
    cancelWakeUp = undefined;
    let head = waiters[0];
    while (head !== undefined && tokens >= computeNeed(head.rank)) {
      tokens -= 1;
      waiters.shift();
      head.resolve(true);
      head.stopper.abort();
      head = waiters[0];
    }
    if (head === undefined) return;
    const missing = computeNeed(head.rank) - tokens;
    cancelWakeUp = startTimer(Math.ceil((missing / perSecond) * 1000), grantTokens);
  };

  return {
    takeToken: (callClass, waitMs) =>
      new Promise((resolve) => {
        const waiter: Waiter = { rank: PLATFORM_CLASSES[callClass], resolve, stopper: new AbortController() };
        // A sleep keeps the process alive, so that a command does not end while it waits for a token.
        void sleep(waitMs, waiter.stopper.signal).then(() => {
          const place = waiters.indexOf(waiter);
          if (place >= 0) waiters.splice(place, 1);
          resolve(false);
        });
        const behind = waiters.findIndex((other) => other.rank > waiter.rank);
        waiters.splice(behind < 0 ? waiters.length : behind, 0, waiter);
        grantTokens();
      }),
  };
}
