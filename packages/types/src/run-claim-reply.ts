/** Whether the run is new or exists on another node. */
export type RunClaimReply =
  | { readonly kind: 'claimed' }
  | { readonly kind: 'exists'; readonly address: string }
  | { readonly kind: 'body-differs' };
