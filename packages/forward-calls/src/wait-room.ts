import type { ForwardDeps } from './forward-deps.js';

/** Waits until waiting calls look for room again, or their caller left. */
export function waitRoom(deps: Pick<ForwardDeps, 'watchRoom'>, left: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const finish = (): void => {
      stopWatching();
      left.removeEventListener('abort', finish);
      resolve();
    };
    const stopWatching = deps.watchRoom(finish);
    left.addEventListener('abort', finish);
  });
}
