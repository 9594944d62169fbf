import { GAP_BINS } from './gap-bins.js';
import { GapCounts } from './gap-counts.js';
import { ReturnCurve } from './return-curve.js';

/** Prompts with this many returns or more share one curve. */
const MAX_RETURN_CLASS = 3;

/** Prior hazard of each bin for a service without observations; about 40% return within a day. */
const PRIOR_HAZARD = 0.01;

const DAY_MS = 86_400_000;

/** Weight of the prior of a service in each bin, as a number of observations. */
const SERVICE_PRIOR_WEIGHT = 2;

/** Weight of the service's curve as the prior of a class in each bin, as a number of observations. */
const CLASS_PRIOR_WEIGHT = 10;

const PRIOR_HAZARDS = Float64Array.from({ length: GAP_BINS.count }, (_, bin) =>
  GAP_BINS.getStartMs(bin) < DAY_MS ? PRIOR_HAZARD : 0,
);

/** Return curves of one service: one for all prompts, and one for each number of earlier returns. */
export class ServiceReturnModel {
  private readonly serviceCounts = new GapCounts();
  private readonly serviceCurve = new ReturnCurve();
  private readonly classes = Array.from({ length: MAX_RETURN_CLASS + 1 }, () => ({
    counts: new GapCounts(),
    curve: new ReturnCurve(),
  }));
  private partialReturns = 0;
  private partialMatches = 0;

  constructor() {
    this.updateCurves([]);
  }

  /** Records a gap that ended in a return of a prompt with that many earlier returns. */
  recordReturn(returns: number, gapMs: number): void {
    this.serviceCounts.recordReturn(gapMs);
    this.findClass(returns).counts.recordReturn(gapMs);
  }

  /** Records that a prompt is no longer tracked, `ageMs` after its last use. */
  recordCensoring(returns: number, ageMs: number): void {
    this.serviceCounts.recordCensoring(ageMs);
    this.findClass(returns).counts.recordCensoring(ageMs);
  }

  /** Records whether a returning prompt began with the whole earlier prompt, including its incomplete last piece. */
  recordPartialMatch(matched: boolean): void {
    this.partialReturns += 1;
    if (matched) this.partialMatches += 1;
  }

  /** Estimated share of the returns that can use the incomplete last piece, 0 to 1. */
  get partialMatchShare(): number {
    return (this.partialMatches + 1) / (this.partialReturns + 2);
  }

  /** Recomputes the curves, with the current ages of the prompts that have not returned yet. */
  updateCurves(open: readonly { readonly returns: number; readonly ageMs: number }[]): void {
    for (const { counts } of [{ counts: this.serviceCounts }, ...this.classes]) counts.open.fill(0);
    for (const { returns, ageMs } of open) {
      const bin = GAP_BINS.findBin(ageMs);
      for (const counts of [this.serviceCounts, this.findClass(returns).counts]) {
        counts.open[bin] = (counts.open[bin] ?? 0) + 1;
      }
    }
    this.serviceCurve.updateCurve(this.serviceCounts, PRIOR_HAZARDS, SERVICE_PRIOR_WEIGHT);
    for (const { counts, curve } of this.classes) {
      curve.updateCurve(counts, this.serviceCurve.hazard, CLASS_PRIOR_WEIGHT);
    }
  }

  /** Returns the curve for prompts with that many earlier returns. */
  getCurve(returns: number): ReturnCurve {
    return this.findClass(returns).curve;
  }

  private findClass(returns: number): { readonly counts: GapCounts; readonly curve: ReturnCurve } {
    const found = this.classes[Math.min(MAX_RETURN_CLASS, Math.max(0, returns))];
    return found ?? { counts: this.serviceCounts, curve: this.serviceCurve };
  }
}
