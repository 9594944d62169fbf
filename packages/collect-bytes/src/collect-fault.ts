import type { COLLECT_FAULTS } from './collect-faults.js';

/** Reason for which a collector takes no more bytes. */
export type CollectFault = (typeof COLLECT_FAULTS)[keyof typeof COLLECT_FAULTS];
