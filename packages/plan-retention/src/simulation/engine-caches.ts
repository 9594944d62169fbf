import type { PieceRef } from '@laburnumshift/types';

/** LRU prefix caches of the simulated engines. `capacity` is in pieces. */
export class EngineCaches {
  private readonly caches: Map<string, true>[];
  private nextEngine = 0;
  private readonly capacity: number;

  constructor(engines: number, capacity: number) {
    this.caches = Array.from({ length: engines }, () => new Map<string, true>());
    this.capacity = capacity;
  }

  /**
   * Chooses the engine with the longest cached prefix, or the next one in round-robin order if no prefix is longer than
   * one piece. `cached` is in pieces.
   */
  chooseEngine(pieces: readonly PieceRef[]): { readonly engine: number; readonly cached: number } {
    const prefixes = this.caches.map((cache) => {
      const missing = pieces.findIndex((piece) => !cache.has(piece.chain));
      return missing < 0 ? pieces.length : missing;
    });
    const cached = Math.max(...prefixes);
    // The first piece is shared by all prompts of an account, which must not all go to one engine.
    if (cached > 1) return { engine: prefixes.indexOf(cached), cached };
    const engine = this.nextEngine;
    this.nextEngine = (this.nextEngine + 1) % this.caches.length;
    return { engine, cached: prefixes[engine] ?? 0 };
  }

  /** Adds the pieces of a run to the cache. The first piece counts as the most recently used one. */
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
