import type { CallExplanation } from './call-explanation.js';

/** An explanation, or why there is none for such a request. */
export type ExplainResult =
  | { readonly kind: 'explained'; readonly explanation: CallExplanation }
  | { readonly kind: 'invalid'; readonly message: string };
