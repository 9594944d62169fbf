import type { CacheTransfers } from './cache-transfers.js';
import type { ForwardCall } from './forward-call.js';

/** A call as it is sent to one backend server. */
export interface BackendCall {
  readonly call: ForwardCall;
  /** Time that the server has, milliseconds. */
  readonly remainingMs: number;
  /** The server answers "wrong process" unless this is its id. */
  readonly expectedServer: string;
  /** Name of the client account; `undefined` on public routes. */
  readonly account: string | undefined;
  /** Set for calls of model engines. */
  readonly engine?: {
    /** The engine answers "wrong process" unless its weights have this version. */
    readonly expectedVersion: number | undefined;
    /** Cached pieces are found only under the text they were made under. */
    readonly cacheScope: string;
    /** 0 (first) to 9. */
    readonly urgency: number;
    readonly transfers: CacheTransfers;
  };
  /** Last event that was passed on, when a stream is resumed by the host. */
  readonly resumeAfter: string | undefined;
}
