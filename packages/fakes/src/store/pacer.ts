import { readMonotonicMs, sleep } from '@laburnumshift/clock';

/** Work that is behind by at most this much is caught up, because timers fire late. */
const CATCH_UP_MS = 5;

/** Timers are too coarse for shorter waits; they are added up. */
const MIN_SLEEP_MS = 1;

/** Spends modelled time on one resource, one user after the other, with little drift. */
export class Pacer {
  private dueMs = 0;

  /** Waits until the resource has worked for `ms` more. Callers take turns themselves. */
  async sleepFor(ms: number, signal?: AbortSignal): Promise<void> {
    const now = readMonotonicMs();
    this.dueMs = Math.max(this.dueMs, now - CATCH_UP_MS) + ms;
    if (this.dueMs - now >= MIN_SLEEP_MS) await sleep(this.dueMs - now, signal);
  }
}
