import type { EngineEntry } from './engine-entry.js';

/** The engines of a directory and their indexes in the bit sets. The index of a removed engine is reused. */
export class EngineTable {
  private readonly byName = new Map<string, EngineEntry>();
  private readonly byIndex: (EngineEntry | undefined)[] = [];
  private readonly freeIndexes: number[] = [];

  /** Number of indexes assigned so far, including those that are free again. */
  get indexCount(): number {
    return this.byIndex.length;
  }

  get count(): number {
    return this.byName.size;
  }

  /** Returns the engine, or `undefined` when it is not in the table. */
  findEngine(name: string): EngineEntry | undefined {
    return this.byName.get(name);
  }

  /** Returns the engine, which is added when it is not in the table. */
  addEngine(name: string, nowMs: number): EngineEntry {
    const found = this.byName.get(name);
    if (found !== undefined) return found;
    const index = this.freeIndexes.pop() ?? this.byIndex.length;
    const entry: EngineEntry = {
      name,
      index,
      lastSeq: 0,
      lastSeenMs: nowMs,
      confirmationRate: 1,
      assumedPieces: [],
    };
    this.byName.set(name, entry);
    this.byIndex[index] = entry;
    return entry;
  }

  /** Returns the name of the engine with an index, or an empty string when the index is free. */
  getName(index: number): string {
    return this.byIndex[index]?.name ?? '';
  }

  removeEngine(entry: EngineEntry): void {
    this.byName.delete(entry.name);
    this.byIndex[entry.index] = undefined;
    this.freeIndexes.push(entry.index);
  }

  listEngines(): EngineEntry[] {
    return [...this.byName.values()];
  }
}
