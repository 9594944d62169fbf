import type { Deployment } from './deployment.js';
import type { EventQueue } from './event-queue.js';
import { PieceCache } from './piece-cache.js';

const MS_PER_S = 1000;
const MINUTE_MS = 60_000;
/** Time after which a call to a dead store fails. */
const REFUSED_MS = 50;
/** Exports that wait for the link; beyond it new ones are dropped. */
const MAX_EXPORTS = 1024;

/** A store host: a memory and a disk tier behind one link that carries one transfer at a time; imports go first. */
export class SimStore {
  readonly disk: PieceCache;
  readonly memory: PieceCache;
  alive = true;
  linkBytesPerSecond: number;
  movedBytes = 0;
  /** Busy milliseconds in each minute, for the peak use. */
  readonly busyByMinute = new Map<number, number>();
  private readonly imports: {
    readonly ms: number;
    readonly bytes: number;
    readonly finish: (ok: boolean) => void;
  }[] = [];
  private readonly exports = new Map<string, true>();
  private busyUntilMs = 0;
  private busy = false;

  constructor(
    private readonly events: EventQueue,
    private readonly deployment: Deployment,
  ) {
    this.linkBytesPerSecond = deployment.linkBytesPerSecond;
    this.disk = new PieceCache(deployment.diskPieces);
    this.memory = new PieceCache(deployment.memoryPieces, (chain) => {
      this.disk.add(chain);
    });
  }

  /** Tier in which a piece is listed; a dead store stays listed until it is forgotten. */
  getTier(chain: string): 'memory' | 'disk' | undefined {
    if (this.memory.has(chain)) return 'memory';
    return this.disk.has(chain) ? 'disk' : undefined;
  }

  /** Bytes that go before a new import. */
  getQueuedBytes(): number {
    const waiting = this.imports.reduce((sum, transfer) => sum + transfer.bytes, 0);
    const leftMs = Math.max(0, this.busyUntilMs - this.events.getNowMs());
    return waiting + (leftMs / MS_PER_S) * this.linkBytesPerSecond;
  }

  importPieces(chains: readonly string[], finish: (ok: boolean) => void): void {
    if (!this.alive) {
      this.events.schedule(REFUSED_MS, () => {
        finish(false);
      });
      return;
    }
    const { pieceBytes, diskBytesPerSecond } = this.deployment;
    let ms = 0;
    for (const chain of chains) {
      const onDisk = this.getTier(chain) === 'disk';
      const rate = onDisk ? Math.min(diskBytesPerSecond, this.linkBytesPerSecond) : this.linkBytesPerSecond;
      ms += (pieceBytes / rate) * MS_PER_S;
      (onDisk ? this.disk : this.memory).add(chain);
    }
    this.imports.push({ ms, bytes: chains.length * pieceBytes, finish });
    this.runTransfer();
  }

  /** Exports a piece when the link is idle; a piece that is there counts as used, however the engine came by it. */
  exportPiece(chain: string): void {
    if (!this.alive) return;
    const tier = this.getTier(chain);
    if (tier !== undefined) this[tier].add(chain);
    if (tier !== undefined || this.exports.size >= MAX_EXPORTS) return;
    this.exports.set(chain, true);
    this.runTransfer();
  }

  fail(): void {
    this.alive = false;
    this.exports.clear();
    for (const transfer of this.imports.splice(0)) transfer.finish(false);
  }

  clearListing(): void {
    this.memory.clear();
    this.disk.clear();
  }

  private runTransfer(): void {
    if (this.busy) return;
    const { pieceBytes } = this.deployment;
    const next = this.imports.shift();
    const [chain] = this.exports.keys();
    if (next !== undefined) {
      this.holdLink(next.ms, next.bytes, next.finish);
    } else if (chain !== undefined) {
      this.exports.delete(chain);
      this.holdLink((pieceBytes / this.linkBytesPerSecond) * MS_PER_S, pieceBytes, (ok) => {
        if (ok) this.memory.add(chain);
      });
    }
  }

  private holdLink(ms: number, bytes: number, finish: (ok: boolean) => void): void {
    const nowMs = this.events.getNowMs();
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
