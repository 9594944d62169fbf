/** A revision of the store as it states it. */
export interface StoreRevision {
  /** Number of the era, which rises with each restore; 0 when the store states none. */
  readonly era: number;
  /** Revision within the era. */
  readonly revision: number;
}
