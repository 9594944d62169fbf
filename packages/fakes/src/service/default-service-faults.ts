import type { ServiceFaults } from './service-faults.js';

/** No faults. */
export const DEFAULT_SERVICE_FAULTS: ServiceFaults = {
  lostAfterRun: 0,
  lostBeforeRun: 0,
  lostBy: 'cut',
  slowMs: 0,
  silenceOpen: false,
  refuseConnections: false,
  crashed: false,
  leaving: false,
};
