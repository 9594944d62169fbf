import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import type { RetryOptions } from './retry-options.js';

/** Errors that pass: a process that stops still holds the address, or the machine does not have it yet. */
const TEMPORARY_ERRORS = new Set<unknown>(['EADDRINUSE', 'EADDRNOTAVAIL']);
/** Pause between attempts, milliseconds. */
const PAUSE_MS = 100;

/**
 * Opens a listener, and tries again while its address is in use or not there.
 *
 * @throws the error of `open`: these two after the timeout or the abort, any other at once
 */
export async function retryUntilBound<T>(open: () => Promise<T>, options: RetryOptions): Promise<T> {
  const endMs = readMonotonicMs() + options.timeoutMs;
  for (let isFirst = true; ; isFirst = false) {
    try {
      return await open();
    } catch (error) {
      const isTemporary = TEMPORARY_ERRORS.has((error as NodeJS.ErrnoException).code);
      if (!isTemporary || options.signal?.aborted === true || readMonotonicMs() >= endMs) throw error;
      if (isFirst) options.onWait(error);
      await sleep(PAUSE_MS, options.signal);
    }
  }
}
