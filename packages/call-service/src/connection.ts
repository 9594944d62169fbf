import type { CallResponse, CallRequest, PeerError, Result } from '@laburnumshift/types';

/** One keep-alive connection to an HTTP peer. It carries one call at a time. */
export interface Connection {
  /**
   * Sends a call once. With `requireOpen`, the call fails with `sent: false` when the connection is not open. Rejects when Node
   * does not accept the method, path or headers.
   */
  readonly sendCall: (
    call: CallRequest,
    timeoutMs: number,
    requireOpen: boolean,
  ) => Promise<Result<CallResponse, PeerError>>;
  /** Milliseconds since the last complete response; `Infinity` before the first. */
  readonly getMsSinceResponse: () => number;
  readonly isOpen: () => boolean;
  readonly close: () => void;
}
