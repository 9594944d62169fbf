/** One measured size. */
export interface Point {
  readonly x: number;
  readonly y: number;
}
