import { sleep } from './sleep.js';

/** Waits for a promise at most some milliseconds; `undefined` on timeout. A rejection of the promise is passed on. */
export async function waitAtMost<T>(promise: Promise<T>, ms: number): Promise<T | undefined> {
  const stopper = new AbortController();
  try {
    return await Promise.race([promise, sleep(ms, stopper.signal).then(() => undefined)]);
  } finally {
    stopper.abort();
  }
}
