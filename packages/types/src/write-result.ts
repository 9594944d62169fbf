/** Result of a conditional update. `unknown` means that the answer was lost and that reading the object back failed too. */
export type WriteResult =
  | { readonly kind: 'written'; readonly version: number }
  | { readonly kind: 'conflict'; readonly version: number }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'unavailable'; readonly detail: string }
  | { readonly kind: 'unknown'; readonly detail: string };
