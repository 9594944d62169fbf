import type { CacheTransfers } from './cache-transfers.js';
import type { ForwardCall } from './forward-call.js';
import type { RunContinuation } from './run-continuation.js';

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
    /** Address of the engine that gets a copy of the run while it runs; `undefined` for no copy. */
    readonly backupAddress?: string | undefined;
    /** Memory from which the run continues; an engine that does not have it refuses the call. `undefined` for a new run. */
    readonly continuation?: RunContinuation | undefined;
  };
  /** Id of the last event that was passed on when the host resumes a stream; otherwise `undefined`. */
  readonly resumeAfter: string | undefined;
}
