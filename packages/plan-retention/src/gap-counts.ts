import { GAP_BINS } from './gap-bins.js';

/** Number of observations at which all counts are halved, so that the counts follow changes of usage. */
const MAX_OBSERVATIONS = 4_000;

/**
 * Histograms of the gaps of one group of prompts: gaps that ended in a return, and censored gaps, whose end was not
 * observed.
 */
export class GapCounts {
  /** Gaps that ended in a return. */
  readonly returned = new Float64Array(GAP_BINS.count);
  /** Ages at which prompts were evicted from the history before a return. */
  readonly censored = new Float64Array(GAP_BINS.count);
  /** Current ages of the prompts that have not returned yet. */
  readonly open = new Float64Array(GAP_BINS.count);
  private total = 0;

  recordReturn(gapMs: number): void {
    this.addCount(this.returned, gapMs);
  }

  recordCensoring(ageMs: number): void {
    this.addCount(this.censored, ageMs);
  }

  private addCount(counts: Float64Array, ms: number): void {
    const bin = GAP_BINS.findBin(ms);
    counts[bin] = (counts[bin] ?? 0) + 1;
    this.total += 1;
    if (this.total < MAX_OBSERVATIONS) return;
    for (const list of [this.returned, this.censored]) {
      for (let at = 0; at < list.length; at += 1) list[at] = (list[at] ?? 0) / 2;
    }
    this.total /= 2;
  }
}
