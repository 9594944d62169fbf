/** A problem found in a file, setting, header or message, with its place. */
export interface Finding {
  readonly file: string;
  /** 1-based; 0 when unknown. */
  readonly line: number;
  readonly column: number;
  /** Path inside the document, e.g. `pools[0].servers`. */
  readonly path: string;
  readonly message: string;
}
