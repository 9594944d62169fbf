import { Pacer } from './pacer.js';

/** A queued transfer looks at the rate this often, so that a change of the rate reaches it. */
const SLICE_MS = 20;

/** A link or a disk with a modelled rate; transfers queue on it in order. */
export class SharedLink {
  private readonly pacer = new Pacer();
  private tail: Promise<void> = Promise.resolve();
  private queued = 0;
  private readonly readRate: () => number;

  /** @param readRate current rate, bytes per second */
  constructor(readRate: () => number) {
    this.readRate = readRate;
  }

  /** Modelled bytes that wait or are on their way. */
  get queuedBytes(): number {
    return this.queued;
  }

  /** Moves modelled bytes after all earlier transfers; returns early when the signal aborts. */
  async moveBytes(bytes: number, signal: AbortSignal): Promise<void> {
    this.queued += bytes;
    const turn = this.tail.then(() => this.runTransfer(bytes, signal));
    this.tail = turn;
    await turn;
  }

  private async runTransfer(bytes: number, signal: AbortSignal): Promise<void> {
    let left = bytes;
    while (left > 0 && !signal.aborted) {
      const rate = Math.max(1, this.readRate());
      const slice = Math.min(left, Math.ceil((rate * SLICE_MS) / 1000));
      await this.pacer.sleepFor((slice / rate) * 1000, signal);
      left -= slice;
      this.queued -= slice;
    }
    this.queued -= left;
  }
}
