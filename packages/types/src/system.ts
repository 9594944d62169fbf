import type { SYSTEMS } from './systems.js';

/** Name of a system that serves calls. */
export type System = keyof typeof SYSTEMS;
