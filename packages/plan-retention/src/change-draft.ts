import type { StoreChange, StoreView, Tier } from '@laburnumshift/types';
import type { RankedPiece } from './ranked-piece.js';

/** Changes planned so far, with the filling of the tiers that they lead to. */
export class ChangeDraft {
  readonly changes: StoreChange[] = [];
  private readonly changed = new Set<RankedPiece>();
  private readonly used = new Map<string, number>();
  private readonly capacity = new Map<string, number>();

  constructor(stores: readonly StoreView[]) {
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

  /** True when a tier is filled beyond a share of its capacity, with some bytes more. */
  isBeyond(store: string, tier: Tier, share: number, bytes = 0): boolean {
    const place = `${store}/${tier}`;
    return (this.used.get(place) ?? 0) + bytes > (this.capacity.get(place) ?? 0) * share;
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

  /** Counts bytes that come to a tier. */
  addBytes(store: string, tier: Tier, bytes: number): void {
    const place = `${store}/${tier}`;
    this.used.set(place, (this.used.get(place) ?? 0) + bytes);
  }
}
