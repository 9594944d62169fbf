import type { CallResponse } from './call-response.js';
import type { CallRequest } from './call-request.js';
import type { PeerError } from './peer-error.js';
import type { Result } from './result.js';

/** The client of one plain service instance. */
export interface ServiceClient {
  /**
   * Sends a call at most once, on one connection. With `requireRecentAnswer`, the connection must have answered within the
   * last 500 ms by default, so that an unresponsive connection is not used.
   */
  readonly sendCall: (
    call: CallRequest,
    timeoutMs: number,
    requireRecentAnswer: boolean,
  ) => Promise<Result<CallResponse, PeerError>>;
  readonly readLoad: () => Promise<
    Result<
      {
        readonly running: number;
        readonly queued: number;
        readonly leaving: boolean;
        readonly boot_id: string;
      },
      PeerError
    >
  >;
  readonly close: () => void;
}
