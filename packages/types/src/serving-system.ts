import type { SERVING_SYSTEMS } from './serving-systems.js';

/** Name of a system that serves calls. */
export type ServingSystem = keyof typeof SERVING_SYSTEMS;
