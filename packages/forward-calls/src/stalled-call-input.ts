import type { StallReport } from './stall-report.js';

/** Input of the decision about a call that makes no progress. */
export interface StalledCallInput {
  readonly callId: string;
  /** Milliseconds since the last progress: since the last complete event of a stream, or the last bytes of any other answer. */
  readonly silentMs: number;
  /** True when another attempt can follow if the call is abandoned. */
  readonly canRetry: boolean;
  /** Milliseconds without progress after which a call that can be sent again is abandoned if its server does not list its running calls. */
  readonly stallTimeoutMs: number;
  /** Reports of the server since the last progress, oldest first. */
  readonly reports: readonly StallReport[];
}
