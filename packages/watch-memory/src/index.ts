/** Resident memory of the process within that of its machine. */
export type { MemoryOptions } from './memory-options.js';
export { watchMemory } from './watch-memory.js';
