interface Transfer {
  readonly endMs: number;
  readonly finish: () => void;
}

/** Queue of a link or disk in simulated time. Transfers run one after another. */
export class TransferQueue {
  /** Time at which all transfers are completed, milliseconds. */
  private idleAtMs = 0;
  private readonly transfers: Transfer[] = [];
  private readonly bytesPerSecond: number;

  constructor(bytesPerSecond: number) {
    this.bytesPerSecond = bytesPerSecond;
  }

  /** Returns the time until all transfers are completed, milliseconds. */
  getQueueMs(nowMs: number): number {
    return Math.max(0, this.idleAtMs - nowMs);
  }

  /** Adds a transfer. `finishTransfers` calls `finish` when the transfer has ended. */
  addTransfer(bytes: number, nowMs: number, finish: () => void): void {
    this.idleAtMs = Math.max(this.idleAtMs, nowMs) + (bytes / this.bytesPerSecond) * 1000;
    this.transfers.push({ endMs: this.idleAtMs, finish });
  }

  /** Completes the transfers that have ended by `nowMs`. */
  finishTransfers(nowMs: number): void {
    while ((this.transfers[0]?.endMs ?? Number.POSITIVE_INFINITY) <= nowMs) this.transfers.shift()?.finish();
  }
}
