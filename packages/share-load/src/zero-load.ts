import type { ServerLoad } from './server-load.js';

/** Load of a server without calls. */
export const ZERO_LOAD: ServerLoad = { inFlight: 0, pendingTokens: 0, heldTokens: 0 };
