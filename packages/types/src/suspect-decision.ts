/** Reply of the home node of a fingerprint to a `SuspectClaim`. */
export type SuspectDecision =
  | { readonly kind: 'clean' }
  | { readonly kind: 'isolate' }
  | { readonly kind: 'busy'; readonly retryAfterMs: number }
  | { readonly kind: 'convicted'; readonly untilMs: number };
