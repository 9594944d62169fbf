import type { PRIORITIES } from './priorities.js';

/** Name of a priority class. */
export type Priority = keyof typeof PRIORITIES;
