import { sleep } from './sleep.js';

/**
 * Runs a task again and again with a pause between the end of one run and the start of the next.
 * A failing run goes to `onError` and does not end the loop.
 *
 * @param pauseMs pause in milliseconds, or a function that returns it (for jitter)
 * @returns a function that stops the loop after the current run
 */
export function runEvery(
  pauseMs: number | (() => number),
  task: () => Promise<void> | void,
  onError: (error: unknown) => void,
): () => void {
  const stopper = new AbortController();
  const runLoop = async (): Promise<void> => {
    while (!stopper.signal.aborted) {
      try {
        await task();
      } catch (error) {
        onError(error);
      }
      await sleep(typeof pauseMs === 'number' ? pauseMs : pauseMs(), stopper.signal);
    }
  };
  void runLoop();
  return () => {
    stopper.abort();
  };
}
