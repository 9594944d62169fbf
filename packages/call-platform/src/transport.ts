import type { PlatformCallClass } from '@laburnumshift/types';
import type { AttemptResult } from './attempt-result.js';
import type { PlatformRequest } from './platform-request.js';

/** Sends rate-limited attempts to the platform and computes their backoff. */
export interface Transport {
  /**
   * Waits for a token of the class and makes one attempt, both until the deadline (monotonic milliseconds). Fails with
   * `sent: false` when there is no token in time.
   */
  readonly sendAttempt: (
    call: PlatformRequest,
    callClass: PlatformCallClass,
    deadlineAt: number,
    attemptMs?: number,
  ) => Promise<AttemptResult>;
  /** Returns the deadline of a call that starts now, monotonic milliseconds. */
  readonly computeDeadline: () => number;
  /**
   * Waits before the next attempt. Returns false when too little time is left for one, when the platform has failed for longer
   * than the deadline of a call, or when the transport is closed.
   */
  readonly waitBackoff: (attempt: number, retryAfterMs: number, deadlineAt: number) => Promise<boolean>;
  /** Waits for `retryAfterMs` plus a jittered backoff; ends early when the transport is closed. */
  readonly waitBetweenAttempts: (attempt: number, retryAfterMs: number) => Promise<void>;
  /** Milliseconds since the last successful answer. */
  readonly getSilenceMs: () => number;
  readonly getCounts: () => Readonly<Record<string, number>>;
  readonly isClosed: () => boolean;
  readonly close: () => void;
}
