import { Pacer } from '../store/pacer.js';

interface PrefillJob {
  readonly priority: number;
  readonly signal: AbortSignal;
  readonly finish: () => void;
  left: number;
}

/** Tokens computed before the next choice, as in chunked prefill. */
const CHUNK_TOKENS = 512;

/** The prefill rate of the engine: chunk by chunk for the most urgent job, first come first served among equals. */
export class PrefillQueue {
  private readonly jobs: PrefillJob[] = [];
  private readonly pacer = new Pacer();
  private active = false;
  private readonly readRate: () => number;

  /** @param readRate current rate, tokens per second */
  constructor(readRate: () => number) {
    this.readRate = readRate;
  }

  /** Tokens that still have to be computed. */
  get tokens(): number {
    return this.jobs.reduce((sum, job) => sum + job.left, 0);
  }

  /** Waits until `tokens` have been computed or the signal aborts. */
  async computeTokens(priority: number, tokens: number, signal: AbortSignal): Promise<void> {
    if (tokens <= 0) return;
    await new Promise<void>((resolve) => {
      this.jobs.push({ priority, signal, finish: resolve, left: tokens });
      if (!this.active) void this.runJobs();
    });
  }

  private async runJobs(): Promise<void> {
    this.active = true;
    while (this.jobs.length > 0) {
      const job = this.jobs.reduce((best, other) => (other.priority < best.priority ? other : best));
      const chunk = job.signal.aborted ? 0 : Math.min(job.left, CHUNK_TOKENS);
      if (chunk > 0) await this.pacer.sleepFor((chunk / this.readRate()) * 1000, job.signal);
      job.left -= chunk;
      if (job.left <= 0 || job.signal.aborted) {
        this.jobs.splice(this.jobs.indexOf(job), 1);
        job.finish();
      }
    }
    this.active = false;
  }
}
