import type { CallAnswer, CallRequest, PeerError, Result } from '@laburnumshift/types';

/** One keep-alive connection of an HTTP peer. It carries one call at a time. */
export interface Connection {
  /** Sends a call once. With `onlyOpen`, the call fails unsent when the connection has to be opened first. */
  readonly sendCall: (
    call: CallRequest,
    timeoutMs: number,
    onlyOpen: boolean,
  ) => Promise<Result<CallAnswer, PeerError>>;
  /** Milliseconds since the last whole answer. */
  readonly getAnswerAgeMs: () => number;
  readonly isOpen: () => boolean;
  readonly close: () => void;
}
