/** Failure of a node call. */
export type NodeCallError =
  | { readonly kind: 'unreachable'; readonly detail: string }
  | { readonly kind: 'timeout'; readonly detail: string }
  | { readonly kind: 'refused'; readonly detail: string };
