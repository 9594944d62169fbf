import type { PeerError } from '@laburnumshift/types';

/** How an attempt on one engine ended. `bootId` is the id that the stream showed; `undefined` when no token arrived. */
export type AttemptResult =
  | { readonly kind: 'finished'; readonly reason: 'stop' | 'length' }
  | { readonly kind: 'failed'; readonly error: PeerError; readonly bootId: string | undefined };
