import type { LinkState } from './link-state.js';

/** What is cached of one prompt under one weight version. */
export interface PromptCache {
  /** Leading pieces cached, by engine. */
  readonly prefix: ReadonlyMap<string, number>;
  readonly sources: readonly LinkState[];
  /** For each piece of the prompt the index of its best source, or -1 when no store holds it. */
  readonly stored: readonly number[];
}
