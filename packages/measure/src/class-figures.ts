/** Times to first token of one group of requests, milliseconds. Refused requests count with their deadline. */
export interface ClassFigures {
  readonly count: number;
  readonly refused: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}
