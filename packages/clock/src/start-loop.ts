import type { Loop } from './loop.js';
import { sleep } from './sleep.js';

/**
 * Runs a task repeatedly, with a pause between the end of one run and the start of the next. The first run starts at once.
 * The error of a failed run is passed to `onError` and does not end the loop.
 *
 * @param pauseMs pause in milliseconds, or a function that returns it before each pause
 */
export function startLoop(
  pauseMs: number | (() => number),
  task: () => Promise<void> | void,
  onError: (error: unknown) => void,
): Loop {
  let isStopped = false;
  let isRunRequested = false;
  let pause = new AbortController();
  const runTasks = async (): Promise<void> => {
    for (;;) {
      isRunRequested = false;
      try {
        await task();
      } catch (error) {
        onError(error);
      }
      if (hasStopped()) return;
      if (hasRunRequest()) continue;
      pause = new AbortController();
      await sleep(typeof pauseMs === 'number' ? pauseMs : pauseMs(), pause.signal);
      if (hasStopped()) return;
    }
  };
  const hasStopped = (): boolean => isStopped;
  const hasRunRequest = (): boolean => isRunRequested;
  void runTasks();
  return {
    stop: () => {
      isStopped = true;
      pause.abort();
    },
    runNow: () => {
      isRunRequested = true;
      pause.abort();
    },
  };
}
