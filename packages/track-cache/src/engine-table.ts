import type { EngineEntry } from './engine-entry.js';

/** Engines and their positions in the bit sets; the position of a removed engine is used again. */
export class EngineTable {
  private readonly byName = new Map<string, EngineEntry>();
  private readonly byIndex: (EngineEntry | undefined)[] = [];
  private readonly free: number[] = [];

  /** Positions handed out so far. */
  get positions(): number {
    return this.byIndex.length;
  }

  get count(): number {
    return this.byName.size;
  }

  findEngine(name: string): EngineEntry | undefined {
    return this.byName.get(name);
  }

  addEngine(name: string, nowMs: number): EngineEntry {
    const found = this.byName.get(name);
    if (found !== undefined) return found;
    const index = this.free.pop() ?? this.byIndex.length;
    const entry: EngineEntry = { name, index, lastSeq: 0, lastSeenMs: nowMs, trust: 1, assumptions: [] };
    this.byName.set(name, entry);
    this.byIndex[index] = entry;
    return entry;
  }

  getName(index: number): string {
    return this.byIndex[index]?.name ?? '';
  }

  removeEngine(entry: EngineEntry): void {
    this.byName.delete(entry.name);
    this.byIndex[entry.index] = undefined;
    this.free.push(entry.index);
  }

  listEngines(): EngineEntry[] {
    return [...this.byName.values()];
  }
}
