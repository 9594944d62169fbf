import type { ClassFigures } from './class-figures.js';

/** The figures of one simulation. */
export interface RunFigures {
  /** All requests but bulk ones. */
  readonly interactive: ClassFigures;
  readonly urgent: ClassFigures;
  readonly normal: ClassFigures;
  readonly bulk: ClassFigures;
  /** Share of prompt tokens that were computed although an earlier request had computed them. */
  readonly recomputedShare: number;
  /** The part of `recomputedShare` that no store held: retention decides it, not placement. */
  readonly missedShare: number;
  /** Share of prompt tokens that were computed, new ones included. */
  readonly computedShare: number;
  readonly linkGibibytes: number;
  /** Greatest busy share of the link in one minute. */
  readonly peakLinkUse: number;
  readonly refused: number;
  /** Mean slowdown of the account that fares worst over that of the one that fares best, normal requests. */
  readonly unfairness: number;
  /** Interactive figures of the requests that arrived within 5 s of the fault, and after that. */
  readonly duringFault?: ClassFigures | undefined;
  readonly afterFault?: ClassFigures | undefined;
}
