import { GAP_BINS } from './gap-bins.js';

/** Beyond this many observations older ones count half, so that changed habits show. */
const HALVE_AT = 4_000;

/** Gaps of one group of prompts: those that ended in a return, and those that were lost from sight before one. */
export class GapCounts {
  readonly returned = new Float64Array(GAP_BINS.count);
  /** Ages at which prompts were lost from sight. */
  readonly censored = new Float64Array(GAP_BINS.count);
  /** Ages of the prompts that have not come back yet. */
  readonly open = new Float64Array(GAP_BINS.count);
  private total = 0;

  recordReturn(gapMs: number): void {
    this.addCount(this.returned, gapMs);
  }

  recordLoss(ageMs: number): void {
    this.addCount(this.censored, ageMs);
  }

  private addCount(counts: Float64Array, ms: number): void {
    const bin = GAP_BINS.findBin(ms);
    counts[bin] = (counts[bin] ?? 0) + 1;
    this.total += 1;
    if (this.total < HALVE_AT) return;
    for (const list of [this.returned, this.censored]) {
      for (let at = 0; at < list.length; at += 1) list[at] = (list[at] ?? 0) / 2;
    }
    this.total /= 2;
  }
}
