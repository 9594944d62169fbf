/** Result of an order to an engine. With `unknown`, the engine may have accepted the order. */
export type OrderResult =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'stale-fencing'; readonly lastFencing: number }
  | { readonly kind: 'deadline-passed' }
  | { readonly kind: 'unknown'; readonly detail: string };
