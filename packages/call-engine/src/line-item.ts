import type { PeerError } from '@laburnumshift/types';

/** Items of a stream of server-sent events; `end` and `error` are last. */
export type LineItem =
  | { readonly kind: 'data'; readonly data: string }
  | { readonly kind: 'end' }
  | { readonly kind: 'error'; readonly error: PeerError };
