import { sleep } from '@laburnumshift/clock';

const POLL_MS = 5;

/**
 * Polls a condition until it holds. For tests with real processes or sockets.
 *
 * @param name what is waited for, named in the error
 * @param timeoutMs bounds the total sleep between polls, milliseconds; the time that the condition takes is not counted
 * @throws {Error} on timeout, or the error of the condition
 */
export async function waitFor(
  name: string,
  condition: () => boolean | Promise<boolean>,
  timeoutMs = 20_000,
): Promise<void> {
  for (let sleptMs = 0; sleptMs < timeoutMs; sleptMs += POLL_MS) {
    if (await condition()) return;
    await sleep(POLL_MS);
  }
  throw new Error(`timed out waiting for ${name}`);
}
