/** Moving averages by key. */
export interface MeanTable {
  readonly addValue: (key: string, value: number) => void;
  /** Returns the average of a key; `undefined` while it has too few recent values. */
  readonly getMean: (key: string) => number | undefined;
  readonly countKeys: () => number;
}
