import type { LoadSum } from './load-sum.js';
import type { EncodedServerLoad } from './encoded-server-load.js';

/** Subtracts the loads of one host from a sum that includes them. Servers without calls of other hosts are omitted. */
export function computeRemainingLoads(
  sum: LoadSum,
  hostLoads: readonly EncodedServerLoad[],
): EncodedServerLoad[] {
  const hostLoadByServer = new Map(hostLoads.map((load) => [load[0], load]));
  return [...sum.loads].flatMap(([server, total]): EncodedServerLoad[] => {
    const [, inFlight = 0, pendingTokens = 0, heldTokens = 0] = hostLoadByServer.get(server) ?? [];
    const remainingCalls = total.inFlight - inFlight;
    if (remainingCalls <= 0) return [];
    return [[server, remainingCalls, total.pendingTokens - pendingTokens, total.heldTokens - heldTokens]];
  });
}
