import type { LoadPart } from './load-part.js';
import type { LoadShare } from './load-share.js';
import type { LoadSum } from './load-sum.js';

/** Adds up the work that several hosts or relays told. */
export function mergeLoads(parts: readonly LoadPart[]): LoadSum {
  const loads = new Map<string, LoadShare>();
  for (const part of parts) {
    for (const [server, inFlight, pendingTokens, heldTokens] of part.loads) {
      const sum = loads.get(server);
      loads.set(server, {
        inFlight: inFlight + (sum?.inFlight ?? 0),
        pendingTokens: pendingTokens + (sum?.pendingTokens ?? 0),
        heldTokens: heldTokens + (sum?.heldTokens ?? 0),
      });
    }
  }
  return { loads, hosts: parts.reduce((sum, { hosts }) => sum + hosts, 0) };
}
