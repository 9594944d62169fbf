/** Recent delays of fetches by the address of their source. */
export interface DelayTable {
  /** Adds one fetch. `excessMs` is the delay of the call's first event beyond the expected time, milliseconds. */
  readonly addDelay: (source: string, tokens: number, excessMs: number) => void;
  /**
   * Returns the factor by which recent fetches from a source took longer than on idle links, 1 or more.
   *
   * @param fetchPerMs tokens that an idle link carries per millisecond
   */
  readonly getSlowdown: (source: string, fetchPerMs: number) => number;
}
