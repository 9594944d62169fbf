import type { CacheTransfers } from './cache-transfers.js';
import type { ForwardCall } from './forward-call.js';

/** One call in the form in which it is sent to a backend server. */
export interface BackendCall {
  readonly call: ForwardCall;
  /** Time that the server has for the call, milliseconds. */
  readonly remainingMs: number;
  /** Id of the intended server process; a server with another id refuses the call. */
  readonly expectedServer: string;
  /** Name of the client account; `undefined` on public routes. */
  readonly account: string | undefined;
  /** Set for calls to model engines. */
  readonly engine?: {
    /** Weight version that the call has to run under; an engine with another one refuses it. `undefined` for any version. */
    readonly expectedVersion: number | undefined;
    /** Namespace of cached pieces: a piece is found only under the scope that it was saved under. */
    readonly cacheScope: string;
    /** 0 (most urgent) to 9. */
    readonly urgency: number;
    readonly transfers: CacheTransfers;
  };
  /** Id of the last event that was passed on when the host resumes a stream; otherwise `undefined`. */
  readonly resumeAfter: string | undefined;
}
