import type { StoreChange, StoreState, Tier } from '@laburnumshift/types';
import type { RankedPiece } from './ranked-piece.js';

/** The store changes planned so far, and the used bytes of each tier after them. */
export class StoreChangePlan {
  readonly changes: StoreChange[] = [];
  private readonly changed = new Set<RankedPiece>();
  /** Used and total bytes by `STORE/TIER`. */
  private readonly used = new Map<string, number>();
  private readonly capacity = new Map<string, number>();

  constructor(stores: readonly StoreState[]) {
    for (const { host, stat } of stores) {
      this.used.set(`${host.name}/memory`, stat?.memoryUsed ?? 0);
      this.used.set(`${host.name}/disk`, stat?.diskUsed ?? 0);
      this.capacity.set(`${host.name}/memory`, stat?.memoryBytes ?? 0);
      this.capacity.set(`${host.name}/disk`, stat?.diskBytes ?? 0);
    }
  }

  hasChange(entry: RankedPiece): boolean {
    return this.changed.has(entry);
  }

  /** True when the used bytes of a tier plus `bytes` exceed the given share of its capacity, 0 to 1. */
  isFilledBeyond(store: string, tier: Tier, share: number, bytes = 0): boolean {
    const tierKey = `${store}/${tier}`;
    return (this.used.get(tierKey) ?? 0) + bytes > (this.capacity.get(tierKey) ?? 0) * share;
  }

  deletePiece(entry: RankedPiece): void {
    const { store, scope, chain, tier, bytes } = entry.piece;
    this.addBytes(store, tier, -bytes);
    this.changed.add(entry);
    this.changes.push({ store, scope, chain, action: 'delete' });
  }

  movePiece(entry: RankedPiece, tier: Tier): void {
    const { store, scope, chain, tier: from, bytes } = entry.piece;
    this.addBytes(store, from, -bytes);
    this.addBytes(store, tier, bytes);
    this.changed.add(entry);
    this.changes.push({ store, scope, chain, action: tier === 'memory' ? 'to-memory' : 'to-disk' });
  }

  /** Adds to the used bytes of a tier. A negative number subtracts. */
  addBytes(store: string, tier: Tier, bytes: number): void {
    const tierKey = `${store}/${tier}`;
    this.used.set(tierKey, (this.used.get(tierKey) ?? 0) + bytes);
  }
}
