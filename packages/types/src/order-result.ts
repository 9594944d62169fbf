/** What an engine answered to an order. */
export type OrderResult =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'stale-fencing'; readonly lastFencing: number }
  | { readonly kind: 'deadline-passed' }
  | { readonly kind: 'unknown'; readonly detail: string };
