import { addShares } from './add-shares.js';
import type { CoveredLoads } from './covered-loads.js';
import type { LoadShare } from './load-share.js';
import type { LoadSum } from './load-sum.js';
import { NO_LOAD } from './no-load.js';

/** Sums the loads reported by several hosts or relays. */
export function mergeLoads(parts: readonly CoveredLoads[]): LoadSum {
  const loads = new Map<string, LoadShare>();
  for (const part of parts) {
    for (const [server, inFlight, pendingTokens, heldTokens] of part.loads) {
      const sum = loads.get(server) ?? NO_LOAD;
      loads.set(server, addShares(sum, { inFlight, pendingTokens, heldTokens }));
    }
  }
  return { loads, hosts: parts.reduce((sum, { hosts }) => sum + hosts, 0) };
}
