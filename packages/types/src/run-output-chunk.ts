import type { RunEnd } from './run-end.js';

/** Output tokens of a run, starting at token `offset`. `absent` means that the node does not know the run. */
export type RunOutputChunk =
  | {
      readonly kind: 'tokens';
      readonly offset: number;
      readonly texts: readonly string[];
      readonly end?: RunEnd | undefined;
    }
  | { readonly kind: 'absent' };
