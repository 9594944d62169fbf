import type { OutstandingWork } from '@laburnumshift/track-engines';
import { addLoads } from './add-loads.js';
import { addWork } from './add-work.js';
import type { CoveredLoads } from './covered-loads.js';
import type { ServerLoad } from './server-load.js';
import type { LoadSum } from './load-sum.js';
import { NO_WORK } from './no-work.js';
import { ZERO_LOAD } from './zero-load.js';

/** Sums the loads reported by several hosts or relays. */
export function mergeLoads(parts: readonly CoveredLoads[]): LoadSum {
  const work = new Map<string, OutstandingWork>();
  const loads = new Map<string, ServerLoad>();
  for (const part of parts) {
    for (const [server, inFlight, pendingTokens, heldTokens] of part.loads) {
      const sum = loads.get(server) ?? ZERO_LOAD;
      loads.set(server, addLoads(sum, { inFlight, pendingTokens, heldTokens }));
    }
    for (const [server, calls, ms] of part.works ?? [])
      work.set(server, addWork(work.get(server) ?? NO_WORK, { calls, ms }));
  }
  return { loads, work, hosts: parts.reduce((sum, { hosts }) => sum + hosts, 0) };
}
