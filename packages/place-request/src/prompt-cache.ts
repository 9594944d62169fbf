import type { PieceSource } from './piece-source.js';

/** Where the pieces of one prompt are cached under one weight version. */
export interface PromptCache {
  /** Number of leading pieces that each engine has cached, by engine name; engines with none may be absent. */
  readonly prefix: ReadonlyMap<string, number>;
  readonly sources: readonly PieceSource[];
  /** For each piece of the prompt the index of its fastest source in `sources`, or -1 when no store holds it. */
  readonly stored: readonly number[];
}
