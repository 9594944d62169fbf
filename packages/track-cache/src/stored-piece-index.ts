import type { StoredPiece } from '@laburnumshift/types';

/** The pieces in stores, indexed by piece and by store. When the index is full, the piece recorded first is evicted in all stores. */
export class StoredPieceIndex {
  private readonly byPiece = new Map<string, readonly StoredPiece[]>();
  private readonly byStore = new Map<string, Map<string, StoredPiece>>();
  private total = 0;
  private readonly maxStored: number;

  constructor(maxStored: number) {
    this.maxStored = maxStored;
  }

  /** Number of pieces, counted once for each store. */
  get count(): number {
    return this.total;
  }

  findStored(scope: string, chain: string): readonly StoredPiece[] {
    return this.byPiece.get(`${scope}:${chain}`) ?? [];
  }

  listStored(store: string): StoredPiece[] {
    return [...(this.byStore.get(store)?.values() ?? [])];
  }

  /** Adds a piece, or replaces the record of the same piece in the same store. */
  recordStored(piece: StoredPiece): void {
    const { store, scope, chain } = piece;
    this.removeStored(store, scope, chain);
    if (this.total >= this.maxStored) this.evictOldest();
    const key = `${scope}:${chain}`;
    const pieces = this.byStore.get(store) ?? new Map<string, StoredPiece>();
    if (pieces.size === 0) this.byStore.set(store, pieces);
    pieces.set(key, piece);
    this.byPiece.set(key, [...(this.byPiece.get(key) ?? []), piece]);
    this.total += 1;
  }

  removeStored(store: string, scope: string, chain: string): void {
    const key = `${scope}:${chain}`;
    const pieces = this.byStore.get(store);
    if (pieces?.delete(key) !== true) return;
    if (pieces.size === 0) this.byStore.delete(store);
    const remaining = this.findStored(scope, chain).filter((piece) => piece.store !== store);
    if (remaining.length === 0) this.byPiece.delete(key);
    else this.byPiece.set(key, remaining);
    this.total -= 1;
  }

  removeStore(store: string): void {
    for (const { scope, chain } of this.listStored(store)) this.removeStored(store, scope, chain);
  }

  private evictOldest(): void {
    for (const pieces of this.byPiece.values()) {
      for (const { store, scope, chain } of pieces) this.removeStored(store, scope, chain);
      return;
    }
  }
}
