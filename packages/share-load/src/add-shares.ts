import type { LoadShare } from './load-share.js';

/** Adds two loads of the same server. */
export function addShares(a: LoadShare, b: LoadShare): LoadShare {
  return {
    inFlight: a.inFlight + b.inFlight,
    pendingTokens: a.pendingTokens + b.pendingTokens,
    heldTokens: a.heldTokens + b.heldTokens,
  };
}
