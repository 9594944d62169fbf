import { sleep } from './sleep.js';

/**
 * Waits for a promise for at most `ms` milliseconds; returns `undefined` on timeout. Rejects when the promise rejects in time.
 */
export async function waitWithTimeout<T>(promise: Promise<T>, ms: number): Promise<T | undefined> {
  const abortController = new AbortController();
  try {
    return await Promise.race([promise, sleep(ms, abortController.signal).then(() => undefined)]);
  } finally {
    abortController.abort();
  }
}
