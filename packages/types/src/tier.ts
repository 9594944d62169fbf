import type { TIERS } from './tiers.js';

/** Name of a storage tier. */
export type Tier = keyof typeof TIERS;
