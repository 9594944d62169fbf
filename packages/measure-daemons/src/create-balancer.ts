import { runEvery } from '@laburnumshift/clock';
import type { Balancer } from './balancer.js';
import type { EntryPoint } from './entry-point.js';

/** Common interval of health checks, scaled to the short run; daemons wait 500 ms before they refuse new work. */
const POLL_MS = 100;
const CHECK_TIMEOUT_MS = 400;

async function isReady(entry: EntryPoint): Promise<boolean> {
  try {
    const signal = AbortSignal.timeout(CHECK_TIMEOUT_MS);
    const answer = await fetch(new URL('/readyz', entry.operatorsUrl), { signal });
    await answer.arrayBuffer();
    return answer.ok;
  } catch {
    return false;
  }
}

/** Creates the load balancer; entries are picked in turn. */
export function createBalancer(listEntries: () => readonly EntryPoint[]): Balancer {
  let ready: readonly EntryPoint[] = listEntries();
  let turn = 0;
  const stop = runEvery(
    POLL_MS,
    async () => {
      const entries = listEntries();
      const states = await Promise.all(entries.map(isReady));
      ready = entries.filter((_, index) => states[index]);
    },
    () => undefined,
  );
  return {
    pickEntry: (exclude) => {
      const others = ready.filter((entry) => entry.host !== exclude);
      const choice = others.length > 0 ? others : ready;
      turn += 1;
      return choice[turn % choice.length];
    },
    listReady: () => ready,
    close: stop,
  };
}
