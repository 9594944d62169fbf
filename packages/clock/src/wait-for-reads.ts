/** Turns of the event loop in which connections are accepted and what has arrived on them is read and parsed. */
const TURNS = 4;

/**
 * Waits until the runtime has read what has arrived. After a stall of the event loop, timers run before connections and bytes that
 * arrived meanwhile are seen.
 */
export async function waitForReads(): Promise<void> {
  for (let turn = 0; turn < TURNS; turn += 1) await new Promise((resolve) => setImmediate(resolve));
}
