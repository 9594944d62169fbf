import { GAP_BINS } from './gap-bins.js';
import type { GapCounts } from './gap-counts.js';
import type { ReturnEstimate } from './return-estimate.js';

/** The quantile of the gaps that `p90GapMs` reports. */
const LATE_GAP_QUANTILE = 0.9;

/**
 * Kaplan-Meier estimate of the probability of return by age. The hazard of a bin is the share that returns in it of the
 * prompts that had not returned at its start, so that censored gaps count up to their last known age.
 */
export class ReturnCurve {
  /** Share that returns in each bin, of the prompts that had not returned at its start. */
  readonly hazard = new Float64Array(GAP_BINS.count);
  /** Share that has not returned at the start of each bin; one more entry for the end of the last bin. */
  private readonly survival = new Float64Array(GAP_BINS.count + 1);
  private estimates: readonly ReturnEstimate[] = [];

  /**
   * Recomputes the curve.
   *
   * @param prior hazard of each bin that is assumed when there are few observations
   * @param priorWeight weight of the prior in each bin, as a number of observations
   */
  updateCurve(counts: GapCounts, prior: Float64Array, priorWeight: number): void {
    let atRisk = 0;
    for (let bin = GAP_BINS.count - 1; bin >= 0; bin -= 1) {
      const returned = counts.returned[bin] ?? 0;
      atRisk += returned + (counts.censored[bin] ?? 0) + (counts.open[bin] ?? 0);
      this.hazard[bin] = (returned + priorWeight * (prior[bin] ?? 0)) / (atRisk + priorWeight);
    }
    this.survival[0] = 1;
    for (let bin = 0; bin < GAP_BINS.count; bin += 1) {
      this.survival[bin + 1] = (this.survival[bin] ?? 0) * (1 - (this.hazard[bin] ?? 0));
    }
    this.estimates = Array.from({ length: GAP_BINS.count }, (_, bin) => this.computeEstimate(bin));
  }

  /** Estimates the return of a prompt that was last used `ageMs` ago. */
  estimateReturn(ageMs: number): ReturnEstimate {
    const estimate = this.estimates[GAP_BINS.findBin(ageMs)];
    return estimate ?? { probability: 0, gapMs: 0, p90GapMs: 0 };
  }

  /** Estimates the probability of a return within the next `withinMs` for a prompt that was last used `ageMs` ago. */
  estimateReturnWithin(ageMs: number, withinMs: number): number {
    const now = this.computeSurvival(ageMs);
    return now <= 0 ? 0 : 1 - this.computeSurvival(ageMs + withinMs) / now;
  }

  /** Computes the share that has not returned at an age, by linear interpolation inside the bin. */
  private computeSurvival(ageMs: number): number {
    const bin = GAP_BINS.findBin(ageMs);
    const start = GAP_BINS.getStartMs(bin);
    const end = GAP_BINS.getStartMs(bin + 1);
    const part = Math.min(1, (ageMs - start) / (end - start));
    const from = this.survival[bin] ?? 0;
    return from + ((this.survival[bin + 1] ?? 0) - from) * part;
  }

  private computeEstimate(from: number): ReturnEstimate {
    const start = this.survival[from] ?? 0;
    const returns = start - (this.survival[GAP_BINS.count] ?? 0);
    if (start <= 0 || returns <= 0) return { probability: 0, gapMs: 0, p90GapMs: 0 };
    const findTime = (share: number): number => {
      let bin = from;
      while (bin < GAP_BINS.count && start - (this.survival[bin + 1] ?? 0) < returns * share) bin += 1;
      return Math.max(0, GAP_BINS.getStartMs(bin + 1) - GAP_BINS.getStartMs(from));
    };
    return { probability: returns / start, gapMs: findTime(0.5), p90GapMs: findTime(LATE_GAP_QUANTILE) };
  }
}
