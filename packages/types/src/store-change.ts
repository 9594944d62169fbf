/** A piece to move between tiers or to delete from a store. */
export interface StoreChange {
  readonly store: string;
  readonly scope: string;
  readonly chain: string;
  readonly action: 'to-memory' | 'to-disk' | 'delete';
}
