import { readWallMs, startTimer } from '@laburnumshift/clock';
import type { CacheEvent } from '@laburnumshift/types';
import type { CachedBlock } from './cached-block.js';

/** Events kept for readers that ask for older ones. */
const KEPT_EVENTS = 20_000;

/** Cache events of one boot. They become visible late, and some never do. */
export class EventLog {
  private readonly visible: CacheEvent[] = [];
  private readonly readers = new Set<(event: CacheEvent) => void>();
  private lastSeq = 0;
  private readonly readDelayMs: () => number;
  private readonly readLoseEvery: () => number;

  constructor(readDelayMs: () => number, readLoseEvery: () => number) {
    this.readDelayMs = readDelayMs;
    this.readLoseEvery = readLoseEvery;
  }

  /** Number of the newest event, whether it is visible or not. */
  get seq(): number {
    return this.lastSeq;
  }

  recordEvent(type: CacheEvent['type'], block: CachedBlock): void {
    this.lastSeq += 1;
    const event = { seq: this.lastSeq, at: readWallMs(), type, scope: block.scope, chain: block.chain };
    const loseEvery = this.readLoseEvery();
    if (loseEvery > 0 && event.seq % loseEvery === 0) return;
    startTimer(this.readDelayMs(), () => {
      this.visible.push(event);
      if (this.visible.length > KEPT_EVENTS) this.visible.shift();
      for (const notifyReader of this.readers) notifyReader(event);
    });
  }

  /** Passes on the visible events after `since` and then each new one; returns a function that stops this. */
  watchEvents(since: number, notifyReader: (event: CacheEvent) => void): () => void {
    // A number of an earlier boot is higher than any here; the reader then gets everything.
    const from = since > this.lastSeq ? 0 : since;
    for (const event of this.visible) if (event.seq > from) notifyReader(event);
    this.readers.add(notifyReader);
    return () => {
      this.readers.delete(notifyReader);
    };
  }
}
