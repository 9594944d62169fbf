/** What became of a conditional update. `unknown` is returned only when the read-back failed too. */
export type WriteResult =
  | { readonly kind: 'written'; readonly version: number }
  | { readonly kind: 'conflict'; readonly version: number }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'unavailable'; readonly detail: string }
  | { readonly kind: 'unknown'; readonly detail: string };
