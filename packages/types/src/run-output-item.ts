import type { RunEnd } from './run-end.js';

/** Items of the output of a run, as streamed to a caller; `end` is always the last item. */
export type RunOutputItem =
  | {
      readonly kind: 'token';
      /** Number of output tokens before this one. */
      readonly offset: number;
      readonly text: string;
      /** Set on the last token. */
      readonly finishReason: 'stop' | 'length' | null;
    }
  | { readonly kind: 'end'; readonly end: RunEnd };
