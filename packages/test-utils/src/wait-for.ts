import { sleep } from '@laburnumshift/clock';

const POLL_MS = 5;

/** Waits until the condition holds; rejects with the name after `timeoutMs`. For tests with real processes or sockets. */
export async function waitFor(
  name: string,
  condition: () => boolean | Promise<boolean>,
  timeoutMs = 20_000,
): Promise<void> {
  for (let waited = 0; waited < timeoutMs; waited += POLL_MS) {
    if (await condition()) return;
    await sleep(POLL_MS);
  }
  throw new Error(`timed out waiting for ${name}`);
}
