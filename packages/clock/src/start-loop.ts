import type { Loop } from './loop.js';
import { sleep } from './sleep.js';

/**
 * Runs a task again and again with a pause between the end of one run and the start of the next.
 * A failing run goes to `onError` and does not end the loop.
 *
 * @param pauseMs pause in milliseconds, or a function that returns it (for jitter)
 */
export function startLoop(
  pauseMs: number | (() => number),
  task: () => Promise<void> | void,
  onError: (error: unknown) => void,
): Loop {
  let isStopped = false;
  let isAwake = false;
  let pause = new AbortController();
  const runTasks = async (): Promise<void> => {
    for (;;) {
      isAwake = false;
      try {
        await task();
      } catch (error) {
        onError(error);
      }
      if (hasEnded()) return;
      if (isWoken()) continue;
      pause = new AbortController();
      await sleep(typeof pauseMs === 'number' ? pauseMs : pauseMs(), pause.signal);
      if (hasEnded()) return;
    }
  };
  const hasEnded = (): boolean => isStopped;
  const isWoken = (): boolean => isAwake;
  void runTasks();
  return {
    stop: () => {
      isStopped = true;
      pause.abort();
    },
    runSoon: () => {
      isAwake = true;
      pause.abort();
    },
  };
}
