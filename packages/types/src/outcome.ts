import type { OUTCOMES } from './outcomes.js';

/** One of the three outcomes that a refusal can state. */
export type Outcome = (typeof OUTCOMES)[keyof typeof OUTCOMES];
