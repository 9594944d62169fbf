import { startTimer } from '@laburnumshift/clock';

/** Creates a signal that aborts after some milliseconds or when another signal aborts; `stop` releases it. */
export function createLimit(
  ms: number,
  parent?: AbortSignal,
): { readonly signal: AbortSignal; readonly stop: () => void } {
  const limit = new AbortController();
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
