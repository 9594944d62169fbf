import { sleep } from '@laburnumshift/clock';
import type { DemoContext } from './demo-context.js';

const POLL_MS = 200;
/** Links that moved nothing for this many polls are quiet. */
const QUIET_POLLS = 3;
const MAX_POLLS = 50;

/** Waits until the store links have moved something and are quiet again, as they are in the hours between two uses. */
export async function waitForExports(context: DemoContext): Promise<void> {
  let last = 0;
  let quiet = 0;
  for (let poll = 0; poll < MAX_POLLS && quiet < QUIET_POLLS; poll += 1) {
    await sleep(POLL_MS);
    const { linkBytes } = await context.getReport();
    quiet = linkBytes > 0 && linkBytes === last ? quiet + 1 : 0;
    last = linkBytes;
  }
}
