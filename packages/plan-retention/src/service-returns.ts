import { GAP_BINS } from './gap-bins.js';
import { GapCounts } from './gap-counts.js';
import { ReturnCurve } from './return-curve.js';

/** Prompts with this many returns or more share one curve. */
const MAX_CLASS = 3;

/** Share that returns in each bin, for a service of which nothing is known; about 40% over a day. */
const UNKNOWN_HAZARD = 0.01;

const DAY_MS = 86_400_000;

/** Observations that the prior of a service is worth in each bin. */
const SERVICE_PRIOR_WEIGHT = 2;

/** Observations that the service's own curve is worth in each bin of a class. */
const CLASS_PRIOR_WEIGHT = 10;

const UNKNOWN = Float64Array.from({ length: GAP_BINS.count }, (_, bin) =>
  GAP_BINS.getStart(bin) < DAY_MS ? UNKNOWN_HAZARD : 0,
);

/** Returns of one service: a curve for all its prompts, refined by how often a prompt has come back before. */
export class ServiceReturns {
  private readonly allCounts = new GapCounts();
  private readonly allCurve = new ReturnCurve();
  private readonly classes = Array.from({ length: MAX_CLASS + 1 }, () => ({
    counts: new GapCounts(),
    curve: new ReturnCurve(),
  }));
  private partialReturns = 0;
  private partialMatches = 0;

  constructor() {
    this.updateCurves([]);
  }

  recordReturn(returns: number, gapMs: number): void {
    this.allCounts.recordReturn(gapMs);
    this.findClass(returns).counts.recordReturn(gapMs);
  }

  recordLoss(returns: number, ageMs: number): void {
    this.allCounts.recordLoss(ageMs);
    this.findClass(returns).counts.recordLoss(ageMs);
  }

  /** Records whether a returning prompt began with the whole earlier one, its incomplete last piece included. */
  recordPartial(matched: boolean): void {
    this.partialReturns += 1;
    if (matched) this.partialMatches += 1;
  }

  /** Share of the returns that can use an incomplete last piece. */
  get partialShare(): number {
    return (this.partialMatches + 1) / (this.partialReturns + 2);
  }

  /** Computes the curves anew with the prompts that have not come back yet. */
  updateCurves(open: readonly { readonly returns: number; readonly ageMs: number }[]): void {
    for (const { counts } of [{ counts: this.allCounts }, ...this.classes]) counts.open.fill(0);
    for (const { returns, ageMs } of open) {
      const bin = GAP_BINS.findBin(ageMs);
      for (const counts of [this.allCounts, this.findClass(returns).counts]) {
        counts.open[bin] = (counts.open[bin] ?? 0) + 1;
      }
    }
    this.allCurve.updateCurve(this.allCounts, UNKNOWN, SERVICE_PRIOR_WEIGHT);
    for (const { counts, curve } of this.classes) {
      curve.updateCurve(counts, this.allCurve.hazard, CLASS_PRIOR_WEIGHT);
    }
  }

  /** Curve of the prompts that have come back that often. */
  getCurve(returns: number): ReturnCurve {
    return this.findClass(returns).curve;
  }

  private findClass(returns: number): { readonly counts: GapCounts; readonly curve: ReturnCurve } {
    const found = this.classes[Math.min(MAX_CLASS, Math.max(0, returns))];
    return found ?? { counts: this.allCounts, curve: this.allCurve };
  }
}
