/** Resident memory of the process within that of its machine. */
export type { MemoryOptions } from './memory-options.js';
export type { MemoryWatch } from './memory-watch.js';
export { watchMemory } from './watch-memory.js';
