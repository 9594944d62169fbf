interface Waiter {
  readonly priority: number;
  readonly order: number;
  readonly startRun: () => void;
}

/** The slots of the engine: the lowest priority number is served first, then the earliest arrival. */
export class SlotQueue {
  private readonly waiters = new Set<Waiter>();
  private taken = 0;
  private arrivals = 0;
  private paused = false;
  private readonly slots: number;

  constructor(slots: number) {
    this.slots = slots;
  }

  get running(): number {
    return this.taken;
  }

  /** Waits for a slot; returns a function that gives it back, or `undefined` when the signal aborts first. */
  async takeSlot(priority: number, signal: AbortSignal): Promise<(() => void) | undefined> {
    const granted = await new Promise<boolean>((resolve) => {
      const waiter: Waiter = {
        priority,
        order: this.arrivals++,
        startRun: () => {
          resolve(true);
        },
      };
      signal.addEventListener('abort', () => {
        if (this.waiters.delete(waiter)) resolve(false);
      });
      if (signal.aborted) {
        resolve(false);
        return;
      }
      this.waiters.add(waiter);
      this.startNext();
    });
    if (!granted) return undefined;
    let held = true;
    return () => {
      if (held) this.taken -= 1;
      held = false;
      this.startNext();
    };
  }

  /** Starts no further run while paused. */
  setPaused(paused: boolean): void {
    this.paused = paused;
    this.startNext();
  }

  private startNext(): void {
    while (!this.paused && this.taken < this.slots && this.waiters.size > 0) {
      const next = [...this.waiters].reduce((best, other) =>
        (other.priority - best.priority || other.order - best.order) < 0 ? other : best,
      );
      this.waiters.delete(next);
      this.taken += 1;
      next.startRun();
    }
  }
}
