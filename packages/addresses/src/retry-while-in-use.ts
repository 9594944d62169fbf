import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import type { RetryOptions } from './retry-options.js';

/** Pause between attempts, milliseconds. */
const PAUSE_MS = 100;

/**
 * Opens a listener, and tries again while its address is in use: a process that stops may still hold it.
 *
 * @throws the error of `open`: any but `EADDRINUSE` at once, that one after the timeout or the abort
 */
export async function retryWhileInUse<T>(open: () => Promise<T>, options: RetryOptions): Promise<T> {
  const endMs = readMonotonicMs() + options.timeoutMs;
  for (let isFirst = true; ; isFirst = false) {
    try {
      return await open();
    } catch (error) {
      const isInUse = (error as NodeJS.ErrnoException).code === 'EADDRINUSE';
      if (!isInUse || options.signal?.aborted === true || readMonotonicMs() >= endMs) throw error;
      if (isFirst) options.onWait(error);
      await sleep(PAUSE_MS, options.signal);
    }
  }
}
