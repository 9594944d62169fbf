/** Collects the lines of a message that arrives in pieces. */
export interface LineReader {
  /** Reads up to the end of the line that `bytes` continue at `from`, or to their end. */
  readonly readLine: (bytes: Buffer, from: number) => LineStep;
}

/** What one read came to; `next` is the index of the first byte that was not read. */
type LineStep =
  | { readonly kind: 'line'; readonly line: string; readonly next: number }
  | { readonly kind: 'partial'; readonly length: number }
  | { readonly kind: 'fault'; readonly fault: string };
