import type { ServerLoad } from './server-load.js';

/** Adds two loads of the same server. */
export function addLoads(a: ServerLoad, b: ServerLoad): ServerLoad {
  return {
    inFlight: a.inFlight + b.inFlight,
    pendingTokens: a.pendingTokens + b.pendingTokens,
    heldTokens: a.heldTokens + b.heldTokens,
  };
}
