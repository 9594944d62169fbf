import { startTimer } from '@laburnumshift/clock';
import type { RunBuffer } from './run-buffer.js';

/**
 * Waits until a run changes, the signal aborts, or `waitMs` milliseconds have passed; without `waitMs` there is no
 * timeout.
 */
export function waitForChange(
  run: RunBuffer,
  signal: AbortSignal | undefined,
  waitMs?: number,
): Promise<void> {
  return new Promise((resolve) => {
    const cancelTimer =
      waitMs === undefined
        ? undefined
        : startTimer(waitMs, () => {
            finishWait();
          });
    const finishWait = (): void => {
      cancelTimer?.();
      run.waiting.delete(finishWait);
      signal?.removeEventListener('abort', finishWait);
      resolve();
    };
    run.waiting.add(finishWait);
    signal?.addEventListener('abort', finishWait);
    if (signal?.aborted) finishWait();
  });
}
