import type { ResponseHead } from '@laburnumshift/forward-types';
import type { SendFailure } from './send-failure.js';

/**
 * Handlers of the answer to one call. Exactly one of `onEnd` and `onFailure` is called, after all others; neither is called once the
 * call was cancelled or discarded.
 */
export interface SendHandlers {
  /** Called when the call is assigned a connection, for which it may have waited; false fails the call as `not-sent`. */
  readonly isSendAllowed: () => boolean;
  readonly onHeaders: (head: ResponseHead) => void;
  readonly onBodyBytes: (bytes: Buffer) => void;
  /** Called when the complete answer was received. For an answer without a length or chunks, only the end of the connection shows that. */
  readonly onEnd: () => void;
  readonly onFailure: (fault: SendFailure) => void;
}
