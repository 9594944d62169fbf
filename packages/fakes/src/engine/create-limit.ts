import { setMaxListeners } from 'node:events';
import { startTimer } from '@laburnumshift/clock';

/** Creates a signal that aborts after some milliseconds or when another signal aborts; `stop` releases it. */
export function createLimit(
  ms: number,
  parent?: AbortSignal,
): { readonly signal: AbortSignal; readonly stop: () => void } {
  const limit = new AbortController();
  // Each import of a run listens.
  setMaxListeners(0, limit.signal);
  const stopNow = (): void => {
    limit.abort();
  };
  if (parent?.aborted === true) stopNow();
  parent?.addEventListener('abort', stopNow);
  const cancelTimer = startTimer(ms, stopNow);
  return {
    signal: limit.signal,
    stop: () => {
      cancelTimer();
      parent?.removeEventListener('abort', stopNow);
    },
  };
}
