import type { PlatformFaults } from './platform-faults.js';

/** All switches off. */
export const NO_FAULTS: PlatformFaults = {
  down: false,
  unreachable: false,
  silent: false,
  slowMs: 0,
  loseAnswerAfter: 0,
  loseAnswerBefore: 0,
  lossKind: '',
  muteWatch: false,
  staleHosts: false,
};
