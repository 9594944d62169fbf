import type { Tier } from './tier.js';

/** An order to export a piece from an engine to a store. */
export interface ExportPlan {
  readonly engine: string;
  readonly store: string;
  readonly tier: Tier;
  readonly scope: string;
  readonly chain: string;
  readonly bytes: number;
  /** Expected saving in cost units per mebibyte; higher goes first. */
  readonly value: number;
}
