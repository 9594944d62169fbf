import type { OutstandingWork } from '@laburnumshift/track-engines';

/** Work of a server without calls whose time is known. */
export const NO_WORK: OutstandingWork = { calls: 0, ms: 0 };
