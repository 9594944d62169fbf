import type { POINT_FAULTS } from './point-faults.js';

/** Name of a fault at one point of the protocol. */
export type PointFault = (typeof POINT_FAULTS)[number];
