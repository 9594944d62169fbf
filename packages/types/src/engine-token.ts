/** One output token in the stream of an engine. */
export interface EngineToken {
  readonly id: string;
  readonly weight_version: string;
  /** Number of output tokens before this one. */
  readonly offset: number;
  readonly text: string;
  readonly cached_pieces: number;
  readonly imported_pieces: number;
  readonly computed_tokens: number;
  readonly finish_reason: 'stop' | 'length' | null;
}
