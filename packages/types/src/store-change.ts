/** A planned move of a piece between the tiers of a store, or its deletion. */
export interface StoreChange {
  readonly store: string;
  readonly scope: string;
  readonly chain: string;
  readonly action: 'to-memory' | 'to-disk' | 'delete';
}
