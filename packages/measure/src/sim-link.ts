import type { EventQueue } from './event-queue.js';

const MS_PER_S = 1000;
const MINUTE_MS = 60_000;

interface Transfer {
  readonly bytes: number;
  readonly finish: (ok: boolean) => void;
}

/** The link or the disk of a store: it carries one transfer at a time in order of arrival. */
export class SimLink {
  movedBytes = 0;
  /** Busy milliseconds in each minute, for the peak use. */
  readonly busyByMinute = new Map<number, number>();
  private readonly transfers: Transfer[] = [];
  private idleHandlers: (() => void)[] = [];
  private alive = true;
  private busyUntilMs = 0;
  private busy = false;

  constructor(
    private readonly events: EventQueue,
    public bytesPerSecond: number,
  ) {}

  /** Bytes that go before a new transfer. */
  getQueuedBytes(): number {
    const waiting = this.transfers.reduce((sum, transfer) => sum + transfer.bytes, 0);
    const leftMs = this.busy ? Math.max(0, this.busyUntilMs - this.events.getNowMs()) : 0;
    return waiting + (leftMs / MS_PER_S) * this.bytesPerSecond;
  }

  isIdle(): boolean {
    return !this.busy && this.transfers.length === 0;
  }

  addTransfer(bytes: number, finish: (ok: boolean) => void): void {
    this.transfers.push({ bytes, finish });
    this.runTransfer();
  }

  /** Calls a handler once, when no transfer runs or waits. */
  waitIdle(handler: () => void): void {
    this.idleHandlers.push(handler);
    this.runTransfer();
  }

  /** Reports a failed call after a time. */
  fail(afterMs: number, finish: (ok: boolean) => void): void {
    this.events.schedule(afterMs, () => {
      finish(false);
    });
  }

  failAll(): void {
    this.alive = false;
    for (const transfer of this.transfers.splice(0)) transfer.finish(false);
  }

  private runTransfer(): void {
    if (this.busy) return;
    const next = this.transfers.shift();
    if (next !== undefined) {
      this.holdLink(next);
      return;
    }
    const handlers = this.idleHandlers;
    this.idleHandlers = [];
    for (const handler of handlers) handler();
  }

  private holdLink({ bytes, finish }: Transfer): void {
    const nowMs = this.events.getNowMs();
    const ms = (bytes / this.bytesPerSecond) * MS_PER_S;
    this.busy = true;
    this.busyUntilMs = nowMs + ms;
    this.movedBytes += bytes;
    for (let atMs = nowMs; atMs < nowMs + ms;) {
      const minute = Math.floor(atMs / MINUTE_MS);
      const untilMs = Math.min(nowMs + ms, (minute + 1) * MINUTE_MS);
      this.busyByMinute.set(minute, (this.busyByMinute.get(minute) ?? 0) + untilMs - atMs);
      atMs = untilMs;
    }
    this.events.schedule(ms, () => {
      this.busy = false;
      finish(this.alive);
      this.runTransfer();
    });
  }
}
