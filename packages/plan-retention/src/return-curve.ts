import { GAP_BINS } from './gap-bins.js';
import type { GapCounts } from './gap-counts.js';
import type { ReturnEstimate } from './return-estimate.js';

/** Share of the returns after which one gives up waiting. */
const GIVE_UP_SHARE = 0.9;

/**
 * Chance of return by age, from counts of gaps with censoring: the share that returns in a bin is taken of those that were still
 * away at its start (Kaplan-Meier), so that prompts that have not come back yet count as far as they are known.
 */
export class ReturnCurve {
  /** Share that returns in each bin, of those still away at its start. */
  readonly hazard = new Float64Array(GAP_BINS.count);
  /** Share still away at the start of each bin; one more entry for the end. */
  private readonly away = new Float64Array(GAP_BINS.count + 1);
  private estimates: readonly ReturnEstimate[] = [];

  /**
   * Computes the curve anew.
   *
   * @param prior shares that stand in where there are few observations
   * @param priorWeight observations that the prior is worth in each bin
   */
  updateCurve(counts: GapCounts, prior: Float64Array, priorWeight: number): void {
    let atRisk = 0;
    for (let bin = GAP_BINS.count - 1; bin >= 0; bin -= 1) {
      const returned = counts.returned[bin] ?? 0;
      atRisk += returned + (counts.censored[bin] ?? 0) + (counts.open[bin] ?? 0);
      this.hazard[bin] = (returned + priorWeight * (prior[bin] ?? 0)) / (atRisk + priorWeight);
    }
    this.away[0] = 1;
    for (let bin = 0; bin < GAP_BINS.count; bin += 1) {
      this.away[bin + 1] = (this.away[bin] ?? 0) * (1 - (this.hazard[bin] ?? 0));
    }
    this.estimates = Array.from({ length: GAP_BINS.count }, (_, bin) => this.computeEstimate(bin));
  }

  estimateReturn(ageMs: number): ReturnEstimate {
    const estimate = this.estimates[GAP_BINS.findBin(ageMs)];
    return estimate ?? { chance: 0, gapMs: 0, giveUpMs: 0 };
  }

  /** Chance of a return within a time, given the age. */
  estimateWithin(ageMs: number, withinMs: number): number {
    const now = this.readAway(ageMs);
    return now <= 0 ? 0 : 1 - this.readAway(ageMs + withinMs) / now;
  }

  /** Share still away at an age, interpolated inside the bin. */
  private readAway(ageMs: number): number {
    const bin = GAP_BINS.findBin(ageMs);
    const start = GAP_BINS.getStart(bin);
    const end = GAP_BINS.getStart(bin + 1);
    const part = Math.min(1, (ageMs - start) / (end - start));
    const from = this.away[bin] ?? 0;
    return from + ((this.away[bin + 1] ?? 0) - from) * part;
  }

  private computeEstimate(from: number): ReturnEstimate {
    const start = this.away[from] ?? 0;
    const returns = start - (this.away[GAP_BINS.count] ?? 0);
    if (start <= 0 || returns <= 0) return { chance: 0, gapMs: 0, giveUpMs: 0 };
    const findTime = (share: number): number => {
      let bin = from;
      while (bin < GAP_BINS.count && start - (this.away[bin + 1] ?? 0) < returns * share) bin += 1;
      return Math.max(0, GAP_BINS.getStart(bin + 1) - GAP_BINS.getStart(from));
    };
    return { chance: returns / start, gapMs: findTime(0.5), giveUpMs: findTime(GIVE_UP_SHARE) };
  }
}
