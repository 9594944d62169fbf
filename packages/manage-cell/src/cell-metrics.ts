/** Receives the metrics of a cell. */
export interface CellMetrics {
  readonly addCount: (name: string, amount: number) => void;
  readonly recordValue: (name: string, value: number) => void;
}
