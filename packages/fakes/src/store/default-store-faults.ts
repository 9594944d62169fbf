import type { StoreFaults } from './store-faults.js';

/** All switches off. */
export const DEFAULT_STORE_FAULTS: StoreFaults = {
  dead: false,
  full: false,
  linkFactor: 1,
  otherShare: 0,
  silenceOpen: false,
  points: {},
};
