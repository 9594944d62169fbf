import type { RESTORED_STATES } from './restored-states.js';

/** Value of `RESTORED_STATES`. */
export type RestoredState = (typeof RESTORED_STATES)[keyof typeof RESTORED_STATES];
