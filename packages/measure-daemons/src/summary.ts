/** Times to first token of a group of requests, milliseconds. */
export interface Summary {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}
