import type { SYSTEMS } from './systems.js';

/** Name of a serving system. */
export type System = keyof typeof SYSTEMS;
