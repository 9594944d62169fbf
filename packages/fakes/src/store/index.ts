/** A store host with modelled sizes and rates and fault switches. */
export { computeChecksum } from './compute-checksum.js';
export type { FakeStore } from './fake-store.js';
export type { FakeStoreOptions } from './fake-store-options.js';
export { POINT_FAULTS } from './point-faults.js';
export type { PointFault } from './point-fault.js';
export { startFakeStore } from './start-fake-store.js';
export type { StoreCounters } from './store-counters.js';
export type { StoreFaults } from './store-faults.js';
export type { StorePoint } from './store-point.js';
export { STORE_POINTS } from './store-points.js';
