import { PRIORITIES } from '@laburnumshift/types';
import type { Priority } from '@laburnumshift/types';
import type { EventQueue } from './event-queue.js';
import { PieceCache } from './piece-cache.js';

const MS_PER_S = 1000;
/** Prefill is done in parts of this size; between them a request of a higher priority goes first. */
const CHUNK_TOKENS = 500;

interface Job {
  readonly level: number;
  tokens: number;
  readonly finish: () => void;
}

/** A model engine: one prefill unit that honours priorities, slots, and a cache that drops the least recently used pieces. */
export class SimEngine {
  readonly cache: PieceCache;
  running = 0;
  availableAtMs = 0;
  /** Rises with each restart; work of an earlier process is void. */
  boot = 0;
  private jobs: Job[] = [];
  private busy = false;

  constructor(
    readonly name: string,
    private readonly events: EventQueue,
    readonly rate: number,
    cachePieces: number,
  ) {
    this.cache = new PieceCache(cachePieces);
  }

  /** Computes tokens and then calls `finish`, unless the engine restarts. */
  addPrefill(tokens: number, priority: Priority, finish: () => void): void {
    this.jobs.push({ level: PRIORITIES[priority], tokens: Math.max(tokens, 1), finish });
    if (!this.busy) this.runChunk();
  }

  /** Milliseconds of prefill that go before a new job of this priority. */
  getBacklogMs(priority: Priority): number {
    const level = PRIORITIES[priority];
    let tokens = this.busy ? CHUNK_TOKENS / 2 : 0;
    for (const job of this.jobs) if (job.level <= level) tokens += job.tokens;
    return (tokens / this.rate) * MS_PER_S;
  }

  restart(loadMs: number): void {
    this.boot += 1;
    this.jobs = [];
    this.busy = false;
    this.running = 0;
    this.cache.clear();
    this.availableAtMs = this.events.getNowMs() + loadMs;
  }

  private isBusy(): boolean {
    return this.busy;
  }

  private runChunk(): void {
    let job = this.jobs[0];
    if (job === undefined) return;
    for (const other of this.jobs) if (other.level < job.level) job = other;
    this.busy = true;
    const chosen = job;
    const { boot } = this;
    const tokens = Math.min(chosen.tokens, CHUNK_TOKENS);
    this.events.schedule((tokens / this.rate) * MS_PER_S, () => {
      if (boot !== this.boot) return;
      this.busy = false;
      chosen.tokens -= tokens;
      if (chosen.tokens <= 0) {
        this.jobs.splice(this.jobs.indexOf(chosen), 1);
        chosen.finish();
      }
      // Finishing a job may have added the next one and begun it.
      if (!this.isBusy()) this.runChunk();
    });
  }
}
