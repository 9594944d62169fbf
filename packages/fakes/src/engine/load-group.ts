import { sleep } from '@laburnumshift/clock';

/** Step in which a load makes progress. */
const SLICE_MS = 20;

/** Loads that run at full speed side by side. */
const FULL_SPEED_LOADS = 2;

/** Engines that share the source of weights: more than two loads at once slow each other down. */
export class LoadGroup {
  private active = 0;
  private mostActive = 0;

  /** Largest number of loads that ran at once. */
  get peak(): number {
    return this.mostActive;
  }

  /** Waits for a load that takes `ms` alone. Ends early when the signal aborts. */
  async runLoad(ms: number, signal: AbortSignal): Promise<void> {
    this.active += 1;
    this.mostActive = Math.max(this.mostActive, this.active);
    let left = ms;
    while (left > 0 && !signal.aborted) {
      const speed = Math.min(1, FULL_SPEED_LOADS / this.active);
      const step = Math.min(left / speed, SLICE_MS);
      await sleep(step, signal);
      left -= step * speed;
    }
    this.active -= 1;
  }
}
