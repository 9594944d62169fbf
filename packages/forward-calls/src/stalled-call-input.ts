import type { ProbeResult } from '@laburnumshift/forward-types';

/** Input of the decision about a call that makes no progress. */
export interface StalledCallInput {
  readonly callId: string;
  /** Milliseconds since the last progress: since the last complete event of a stream, or the last bytes of any other answer. */
  readonly silentMs: number;
  /** True when the call may be run again on another server. */
  readonly isRetryable: boolean;
  /** Milliseconds without progress after which a retryable call is abandoned if its server does not list its running calls. */
  readonly stallTimeoutMs: number;
  /** Reports of the server since the last progress, oldest first. */
  readonly reports: readonly ProbeResult[];
}
