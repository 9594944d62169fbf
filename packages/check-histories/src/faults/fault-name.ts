import type { FAULT_TABLE } from './fault-table.js';

/** Name of a fault. */
export type FaultName = keyof typeof FAULT_TABLE;
