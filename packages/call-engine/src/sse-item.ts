import type { PeerError } from '@laburnumshift/types';

/** Items of a stream of server-sent events; `end` and `error` are always the last item. */
export type SseItem =
  | { readonly kind: 'data'; readonly data: string }
  | { readonly kind: 'end' }
  | { readonly kind: 'error'; readonly error: PeerError };
