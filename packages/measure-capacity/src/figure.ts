/** One worked-out figure. */
export interface Figure {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
}
