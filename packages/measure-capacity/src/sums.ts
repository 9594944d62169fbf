import type { Cost } from './cost.js';
import type { Duty } from './duty.js';
import type { Figure } from './figure.js';
import type { Scenario } from './scenario.js';

/** The duties of one size with their sums. */
export interface Sums {
  readonly scenario: Scenario;
  readonly duties: readonly Duty[];
  /** Mean control of a node, and a node that has the most of every duty at once. */
  readonly control: { readonly mean: Cost; readonly most: Cost };
  readonly request: { readonly mean: Cost; readonly most: Cost };
  /** Restarts, failures and limits. */
  readonly daily: readonly Figure[];
  readonly platform: { readonly reads: number; readonly writes: number; readonly waiting: number };
}
