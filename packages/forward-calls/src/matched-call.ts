import type { ByteReservation } from '@laburnumshift/collect-bytes';
import type { ClientAccount, ForwardCall, ForwardRoute, ForwardService } from '@laburnumshift/forward-types';
import type { CallerReply } from './caller-reply.js';

/** A call with the route, the service and the account that it was matched to. */
export interface MatchedCall {
  readonly call: ForwardCall;
  readonly route: ForwardRoute;
  readonly service: ForwardService;
  /** `undefined` on public routes, and when no accounts are configured. */
  readonly account: ClientAccount | undefined;
  readonly body: Buffer;
  readonly reply: CallerReply;
  /** Memory of the answers to the call, until it has ended. */
  readonly answerMemory: ByteReservation;
  /** Monotonic times of the arrival and of the deadline of the call, in milliseconds. */
  readonly arrivedAtMs: number;
  readonly endsAtMs: number;
  /** Aborted when the caller disconnects. */
  readonly callerSignal: AbortSignal;
  /** Aborted when the host stops and the call needs its final answer now. */
  readonly stopSignal: AbortSignal;
}
