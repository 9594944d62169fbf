import { readMonotonicMs, sleep } from '@laburnumshift/clock';

const POLL_MS = 20;

/** Waits until a condition holds and returns how long that took; `undefined` when it does not hold in time. */
export async function waitUntil(
  condition: () => Promise<boolean>,
  limitMs: number,
): Promise<number | undefined> {
  const startedAtMs = readMonotonicMs();
  while (readMonotonicMs() - startedAtMs < limitMs) {
    if (await condition()) return readMonotonicMs() - startedAtMs;
    await sleep(POLL_MS);
  }
  return undefined;
}
