import { startTimer } from '@laburnumshift/clock';

/** Time within which a start ends after a stop signal or an error that no handler caught, milliseconds. */
const START_LIMIT_MS = 5000;

/** Creates a limit on the rest of a start that has met trouble, as such a start may never end. */
export function createStartLimit(): {
  /** Begins the time, unless it has begun or the start has ended. */
  readonly begin: () => void;
  /** The start has ended. */
  readonly end: () => void;
  /** Rejects when the start has not ended in time. */
  readonly whenExceeded: Promise<never>;
} {
  let stopTimer: (() => void) | undefined;
  let hasEnded = false;
  let fail: (error: Error) => void = () => undefined;
  const whenExceeded = new Promise<never>((_, reject) => {
    fail = reject;
  });
  return {
    begin: () => {
      if (hasEnded) return;
      stopTimer ??= startTimer(START_LIMIT_MS, () => {
        fail(
          new Error(`the start did not end in ${String(START_LIMIT_MS)} ms after an error or a stop signal`),
        );
      });
    },
    end: () => {
      hasEnded = true;
      stopTimer?.();
    },
    whenExceeded,
  };
}
