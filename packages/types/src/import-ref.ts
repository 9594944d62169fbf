/** Reference to a piece that the engine is to import from a store before or during the prefill. */
export interface ImportRef {
  /** Index of the piece in the prompt. */
  readonly index: number;
  readonly chain: string;
  readonly url: string;
  readonly key: string;
  readonly generation: number;
  readonly length: number;
  readonly checksum: string;
}
