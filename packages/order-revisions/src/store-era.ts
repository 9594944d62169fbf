/** The newest era of the store that this process has seen. */
export interface StoreEra {
  /** Returns the era; 0 while no answer of the store stated one. */
  readonly getEra: () => number;
  /**
   * Returns a lower bound of the time since the first answer of the era, milliseconds; infinite while no answer stated one, and in the
   * first era of a fleet that starts for the first time. What other hosts wrote shortly before may be missing in the store.
   */
  readonly getAgeMs: () => number;
  /** Calls the handler when an answer shows that the store was restored from a copy. */
  readonly watchRestores: (handler: () => void) => void;
}
