import type { ResponseHead } from '@laburnumshift/forward-types';

/** Decision after an attempt. */
export type NextStep =
  /** The caller has the complete answer or has disconnected. */
  | { readonly kind: 'done' }
  /** Another attempt is made. */
  | { readonly kind: 'send' }
  /** The same run continues at another engine from the memory that was kept of it. */
  | { readonly kind: 'continue' }
  /** The buffered answer of the server is written to the caller. */
  | { readonly kind: 'pass'; readonly head: ResponseHead; readonly body: Buffer }
  /** The caller is told that the call has not run and never will. */
  | { readonly kind: 'refuse' }
  /** The caller is told that the call failed and may have run. */
  | { readonly kind: 'fail'; readonly status: 502 | 504 }
  /** Part of the answer was written already, so the connection to the caller is closed. */
  | { readonly kind: 'abort' };
