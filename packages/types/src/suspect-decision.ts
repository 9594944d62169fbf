/** What the fingerprint's home answers. */
export type SuspectDecision =
  | { readonly kind: 'clean' }
  | { readonly kind: 'isolate' }
  | { readonly kind: 'busy'; readonly retryAfterMs: number }
  | { readonly kind: 'convicted'; readonly untilMs: number };
