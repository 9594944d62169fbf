import type { PlatformClass } from '@laburnumshift/types';
import type { HttpAnswer } from './http-answer.js';
import type { HttpRequest } from './http-request.js';

/** Budgeted attempts with shared counts and backoff. */
export interface Transport {
  /** Makes one attempt with a token of the class, within the time left until the deadline (monotonic milliseconds). */
  readonly sendCall: (
    call: HttpRequest,
    callClass: PlatformClass,
    deadlineAt: number,
    attemptMs?: number,
  ) => Promise<HttpAnswer>;
  /** Returns the deadline of a call that begins now. */
  readonly computeDeadline: () => number;
  /** Waits before the next attempt; false when there is no time for one or the platform has failed for long. */
  readonly waitBackoff: (attempt: number, retryAfterMs: number, deadlineAt: number) => Promise<boolean>;
  /** Waits for a jittered backoff; ends early when the transport closes. */
  readonly pauseAttempt: (attempt: number, retryAfterMs: number) => Promise<void>;
  readonly getSilenceMs: () => number;
  readonly getCounts: () => Readonly<Record<string, number>>;
  readonly isClosed: () => boolean;
  readonly close: () => void;
}
