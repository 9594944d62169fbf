interface Transfer {
  readonly endMs: number;
  readonly finish: () => void;
}

/** A link or disk on the simulated clock: transfers follow one another. */
export class TransferQueue {
  private freeMs = 0;
  private readonly transfers: Transfer[] = [];
  private readonly bytesPerSecond: number;

  constructor(bytesPerSecond: number) {
    this.bytesPerSecond = bytesPerSecond;
  }

  /** Time until all transfers are done, milliseconds. */
  getQueueMs(nowMs: number): number {
    return Math.max(0, this.freeMs - nowMs);
  }

  /** Adds a transfer; `finish` runs when the clock has reached its end. */
  addTransfer(bytes: number, nowMs: number, finish: () => void): void {
    this.freeMs = Math.max(this.freeMs, nowMs) + (bytes / this.bytesPerSecond) * 1000;
    this.transfers.push({ endMs: this.freeMs, finish });
  }

  /** Finishes the transfers that end by now. */
  finishTransfers(nowMs: number): void {
    while ((this.transfers[0]?.endMs ?? Number.POSITIVE_INFINITY) <= nowMs) this.transfers.shift()?.finish();
  }
}
