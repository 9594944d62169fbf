import type { RunEnd } from './run-end.js';

/** Items of a run's output as a caller follows it; the end is always the last item. */
export type RunItem =
  | {
      readonly kind: 'token';
      /** Output tokens before this one. */
      readonly offset: number;
      readonly text: string;
      /** Set on the last token. */
      readonly finishReason: 'stop' | 'length' | null;
    }
  | { readonly kind: 'end'; readonly end: RunEnd };
