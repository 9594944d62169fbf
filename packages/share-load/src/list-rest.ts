import type { LoadSum } from './load-sum.js';
import type { ServerLoad } from './server-load.js';

/** The loads of a sum without those of one host that it covers; servers without other work are left out. */
export function listRest(sum: LoadSum, part: readonly ServerLoad[]): ServerLoad[] {
  const own = new Map(part.map((load) => [load[0], load]));
  return [...sum.loads].flatMap(([server, total]): ServerLoad[] => {
    const [, inFlight = 0, pendingTokens = 0, heldTokens = 0] = own.get(server) ?? [];
    const rest = total.inFlight - inFlight;
    if (rest <= 0) return [];
    return [[server, rest, total.pendingTokens - pendingTokens, total.heldTokens - heldTokens]];
  });
}
