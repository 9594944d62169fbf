import type { RunEnd } from './run-end.js';

/** Output tokens of a run from an offset. */
export type RunChunk =
  | {
      readonly kind: 'tokens';
      readonly offset: number;
      readonly texts: readonly string[];
      readonly end?: RunEnd | undefined;
    }
  | { readonly kind: 'absent' };
