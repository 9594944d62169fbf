import type { PeerError } from '@laburnumshift/types';

/** How one attempt on one engine ended. */
export type AttemptResult =
  | { readonly kind: 'finished'; readonly reason: 'stop' | 'length' }
  | { readonly kind: 'failed'; readonly error: PeerError; readonly bootId: string | undefined };
