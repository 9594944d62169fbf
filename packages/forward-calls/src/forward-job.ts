import type { ClientAccount, ForwardCall, ForwardRoute, ForwardService } from '@laburnumshift/forward-types';
import type { CallerReply } from './caller-reply.js';

/** A call that was matched to a route and an account. */
export interface ForwardJob {
  readonly call: ForwardCall;
  readonly route: ForwardRoute;
  readonly service: ForwardService;
  /** `undefined` on public routes and without accounts. */
  readonly account: ClientAccount | undefined;
  readonly body: Buffer;
  readonly reply: CallerReply;
  /** Monotonic milliseconds at which the call arrived, and at which it ends in any case. */
  readonly arrivedMs: number;
  readonly endsMs: number;
  /** Aborts when the caller left. */
  readonly left: AbortSignal;
}
