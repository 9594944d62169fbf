/** Result of a `RunClaim`: the run is registered, or it exists at `address`, or its body differs. */
export type RunClaimReply =
  | { readonly kind: 'claimed' }
  | { readonly kind: 'exists'; readonly address: string }
  | { readonly kind: 'body-differs' };
