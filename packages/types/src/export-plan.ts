import type { Tier } from './tier.js';

/** A planned export of a piece from an engine to a store. */
export interface ExportPlan {
  readonly engine: string;
  readonly store: string;
  readonly tier: Tier;
  readonly scope: string;
  readonly chain: string;
  readonly bytes: number;
  /** Expected saving, cost units per mebibyte; exports with a higher value run first. */
  readonly value: number;
}
