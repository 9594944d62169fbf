import type { PieceRef } from '@laburnumshift/types';

/** Prefix caches of the simulated engines; each forgets the least recently used piece. */
export class EngineCaches {
  private readonly caches: Map<string, true>[];
  private next = 0;
  private readonly capacity: number;

  constructor(engines: number, capacity: number) {
    this.caches = Array.from({ length: engines }, () => new Map<string, true>());
    this.capacity = capacity;
  }

  /** Chooses the engine with the longest cached prefix; without any, the engines take turns. */
  chooseEngine(pieces: readonly PieceRef[]): { readonly engine: number; readonly cached: number } {
    const prefixes = this.caches.map((cache) => {
      const missing = pieces.findIndex((piece) => !cache.has(piece.chain));
      return missing < 0 ? pieces.length : missing;
    });
    const cached = Math.max(...prefixes);
    // One shared first piece is no reason to send all prompts of an account to one engine.
    if (cached > 1) return { engine: prefixes.indexOf(cached), cached };
    const engine = this.next;
    this.next = (this.next + 1) % this.caches.length;
    return { engine, cached: prefixes[engine] ?? 0 };
  }

  /** Puts the pieces of a run in the cache; the first one counts as used last. */
  insertPieces(engine: number, pieces: readonly PieceRef[]): void {
    const cache = this.caches[engine];
    if (cache === undefined) return;
    for (const { chain } of [...pieces].reverse()) {
      cache.delete(chain);
      cache.set(chain, true);
    }
    for (const chain of cache.keys()) {
      if (cache.size <= this.capacity) return;
      cache.delete(chain);
    }
  }
}
