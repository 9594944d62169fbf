/** Failure of a request to another node. */
export type NodeCallError =
  | { readonly kind: 'unreachable'; readonly detail: string }
  | { readonly kind: 'timeout'; readonly detail: string }
  | { readonly kind: 'refused'; readonly detail: string };
