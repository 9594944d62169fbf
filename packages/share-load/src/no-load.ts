import type { LoadShare } from './load-share.js';

/** Load of a server without calls. */
export const NO_LOAD: LoadShare = { inFlight: 0, pendingTokens: 0, heldTokens: 0 };
