import type { BackendEntry, CacheTransfers } from '@laburnumshift/forward-types';
import type { RoomForecast } from '@laburnumshift/limit-server-rates';
import type { CacheFetch } from '@laburnumshift/track-engines';
import type { RefusalCause } from './refusal-cause.js';

/** The server that a call is sent to, or why the call waits or is refused. */
export type ServerChoice =
  | {
      readonly kind: 'server';
      readonly server: BackendEntry;
      /** Prompt tokens that the engine has to prefill for the call; 0 for plain services. */
      readonly uncachedTokens: number;
      /** Prompt tokens that the engine has to prefill before the call; 0 for plain services. */
      readonly queueTokens: number;
      /** Expected time to the first event, or to the answer of a plain service, milliseconds; 0 when unknown. */
      readonly expectedMs: number;
      /** Share of the engine's memory in use by running calls and this one; `undefined` for plain services. */
      readonly memoryShare: number | undefined;
      /** The largest fetch of cached pieces that the call starts with; `undefined` when it fetches nothing. */
      readonly fetch: CacheFetch | undefined;
      readonly transfers: CacheTransfers | undefined;
      /** Weight version that the call has to run under; `undefined` for plain services. */
      readonly version: number | undefined;
    }
  /**
   * No server has capacity now; the caller of the function asks again shortly. `room` is set when all are at their limits or full, `memory` when
   * a call with a prompt waits for the named engine, which is the best of all.
   */
  | {
      readonly kind: 'wait';
      readonly room?: RoomForecast;
      readonly memory?: { readonly engine: string; readonly neededTokens: number };
    }
  | {
      readonly kind: 'refuse';
      readonly cause: RefusalCause;
      /** A more detailed cause for the log. */
      readonly reason: string;
      readonly retryAfterMs: number;
      /** The best engine and the figures behind the refusal, for the log. */
      readonly inputs?: Readonly<Record<string, string | number>>;
    };
