/** Collects the chunks of a body within the memory of a process. */
export type { ByteReservation } from './byte-reservation.js';
export type { ByteBudget } from './byte-budget.js';
export type { ByteCollector } from './byte-collector.js';
export { COLLECT_FAULTS } from './collect-faults.js';
export type { CollectFault } from './collect-fault.js';
export { createByteBudget } from './create-byte-budget.js';
export { createByteCollector } from './create-byte-collector.js';
export { estimateJsonBytes } from './estimate-json-bytes.js';
export { hasTooSmallChunks } from './has-too-small-chunks.js';
