/** Result of a call to the store, with the era of the store that its answer stated. */
export interface StoreAnswer<T> {
  /** Rises by one each time the store is restored from a copy; `undefined` when no answer came or it stated none. */
  readonly era: number | undefined;
  readonly result: T;
}
